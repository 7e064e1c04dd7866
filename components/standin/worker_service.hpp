#ifndef COMPONENTS_STANDIN_WORKER_SERVICE_HPP
#define COMPONENTS_STANDIN_WORKER_SERVICE_HPP

#include "components/platform/usage_report.hpp"
#include "components/standin/service.hpp"
#include "components/standin/worker_table.hpp"

#include <deque>

namespace standin
{

/// Serves one worker. `GET /v1/history` lists every phase that its tasks entered, for history checks.
class WorkerService : public Service
{
public:
    WorkerService(EventLoop &loop, fleet::WorkerInfo info, fleet::Duration defaultRun, fleet::Duration usageLag);

    const fleet::WorkerInfo &info() const;
    /// On the event loop's thread.
    void setLeaving(bool leaving);

protected:
    void serve(const http::Request &request, fleet::TimePoint now, const FaultGate::Reply &reply) override;
    void onFaults(const Faults &faults, fleet::TimePoint now) override;
    bool isInspection(const http::Request &request) const override;

private:
    http::Response takeCommands(const http::Request &request, fleet::TimePoint now);
    http::Response laggingUsage(fleet::TimePoint now);
    http::Response history(fleet::TimePoint now);
    void recordUsage(fleet::TimePoint now);

    WorkerTable m_table;
    fleet::Duration m_usageLag;
    std::deque<platform::UsageReport> m_usages;
};

}

#endif
