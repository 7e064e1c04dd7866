#ifndef COMPONENTS_STANDIN_RUNNER_SERVICE_HPP
#define COMPONENTS_STANDIN_RUNNER_SERVICE_HPP

#include "components/standin/runner_state.hpp"
#include "components/standin/service.hpp"

namespace standin
{

/// Serves one runner. `GET /v1/received` lists all requests that it received, so that tests can check the history.
class RunnerService : public Service
{
public:
    RunnerService(EventLoop &loop, fleet::RunnerId id, int slots, fleet::Duration runTime);

protected:
    void serve(const http::Request &request, fleet::TimePoint now, const FaultInjector::Reply &reply) override;
    bool isInspection(const http::Request &request) const override;

private:
    void run(const platform::RunRequest &request, fleet::TimePoint now, const FaultInjector::Reply &reply);
    http::Response received() const;

    RunnerState m_runner;
    fleet::Duration m_runTime;
};

}

#endif
