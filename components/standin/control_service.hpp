#ifndef COMPONENTS_STANDIN_CONTROL_SERVICE_HPP
#define COMPONENTS_STANDIN_CONTROL_SERVICE_HPP

#include "components/standin/service.hpp"

#include <boost/json/fwd.hpp>

namespace standin
{

class StandIn;

/// Serves the control port, over which tests inject faults, change the worker list and add routes to the relay.
class ControlService : public Service
{
public:
    ControlService(EventLoop &loop, StandIn &standIn);

protected:
    void serve(const http::Request &request, fleet::TimePoint now, const FaultInjector::Reply &reply) override;

private:
    bool setLeaving(const boost::json::object &body, fleet::TimePoint now);
    http::Address addRelay(const boost::json::object &body);

    StandIn &m_standIn;
};

}

#endif
