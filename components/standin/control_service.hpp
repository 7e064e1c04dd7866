#ifndef COMPONENTS_STANDIN_CONTROL_SERVICE_HPP
#define COMPONENTS_STANDIN_CONTROL_SERVICE_HPP

#include "components/standin/service.hpp"

namespace standin
{

class StandIn;

/// Serves the control port: faults, and changes of the list.
class ControlService : public Service
{
public:
    ControlService(EventLoop &loop, StandIn &standIn);

protected:
    void serve(const http::Request &request, fleet::TimePoint now, const FaultGate::Reply &reply) override;

private:
    bool carryOut(const http::Request &request, fleet::TimePoint now);

    StandIn &m_standIn;
};

}

#endif
