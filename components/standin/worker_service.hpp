#ifndef COMPONENTS_STANDIN_WORKER_SERVICE_HPP
#define COMPONENTS_STANDIN_WORKER_SERVICE_HPP

#include "components/platform/usage_report.hpp"
#include "components/standin/service.hpp"
#include "components/standin/worker_state.hpp"

#include <deque>

namespace standin
{

/// Serves one worker. `GET /v1/history` lists every phase that its tasks entered, so that tests can check the history.
class WorkerService : public Service
{
public:
    WorkerService(EventLoop &loop, fleet::WorkerInfo info, fleet::Duration defaultRunTime, fleet::Duration usageLag);

    const fleet::WorkerInfo &info() const;
    /// Must be called on the event loop's thread.
    void setLeaving(bool leaving);

protected:
    void serve(const http::Request &request, fleet::TimePoint now, const FaultInjector::Reply &reply) override;
    void onFaults(const Faults &faults, fleet::TimePoint now) override;
    bool isInspection(const http::Request &request) const override;

private:
    http::Response applyCommands(const http::Request &request, fleet::TimePoint now);
    http::Response delayedUsage(fleet::TimePoint now);
    http::Response history(fleet::TimePoint now);
    void recordUsage(fleet::TimePoint now);

    WorkerState m_worker;
    fleet::Duration m_usageLag;
    std::deque<platform::UsageReport> m_usageHistory;
};

}

#endif
