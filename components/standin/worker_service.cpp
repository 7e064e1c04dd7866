#include "components/standin/worker_service.hpp"

#include "components/platform/enum_names.hpp"
#include "components/platform/worker_codec.hpp"
#include "components/standin/routes.hpp"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <utility>

namespace standin
{

namespace
{

constexpr int statusOk = 200;
constexpr int statusConflict = 409;

http::Response toResponse(const platform::CommandResult &result)
{
    if (result.m_outcome == platform::CommandOutcome::Fenced) {
        return {statusConflict, platform::encodeFenced(result.m_fence), "application/json", {}};
    }
    return {statusOk, platform::encodeTaskReport(result.m_fence, result.m_tasks), "application/json", {}};
}

}

WorkerService::WorkerService(EventLoop &loop, fleet::WorkerInfo info, fleet::Duration defaultRunTime, fleet::Duration usageLag)
    : Service(loop, std::nullopt)
    , m_usageLag(usageLag)
{
    m_worker.m_info = std::move(info);
    m_worker.m_defaultRunTime = defaultRunTime;
}

const fleet::WorkerInfo &WorkerService::info() const
{
    return m_worker.m_info;
}

void WorkerService::setLeaving(bool leaving)
{
    m_worker.m_leaving = leaving;
}

void WorkerService::serve(const http::Request &request, fleet::TimePoint now, const FaultInjector::Reply &reply)
{
    if (matchesRoute(request, "POST", "/v1/commands")) {
        reply(applyCommands(request, now));
    } else if (matchesRoute(request, "GET", "/v1/usage")) {
        reply(delayedUsage(now));
    } else if (isInspection(request)) {
        reply(history(now));
    } else {
        reply(unknownPathResponse());
    }
}

void WorkerService::onFaults(const Faults &faults, fleet::TimePoint)
{
    m_worker.m_failsTasks = faults.m_failTasks;
}

bool WorkerService::isInspection(const http::Request &request) const
{
    return matchesRoute(request, "GET", "/v1/history");
}

http::Response WorkerService::applyCommands(const http::Request &request, fleet::TimePoint now)
{
    const auto message = platform::decodeCommands(request.m_body, m_worker.m_info.m_id);
    const auto result = apply(m_worker, message, now);
    recordUsage(now);
    return toResponse(result);
}

http::Response WorkerService::delayedUsage(fleet::TimePoint now)
{
    advance(m_worker, now);
    recordUsage(now);
    while (m_usageHistory.size() > 1 && m_usageHistory[1].m_asOf <= now - m_usageLag) {
        m_usageHistory.pop_front();
    }
    auto visible = m_usageHistory.front();
    visible.m_asOf = std::min(visible.m_asOf, now - m_usageLag);
    return {statusOk, platform::encodeUsage(visible), "application/json", {}};
}

http::Response WorkerService::history(fleet::TimePoint now)
{
    advance(m_worker, now);
    boost::json::array events;
    for (const auto &event : m_worker.m_history) {
        events.push_back({{"at", fleet::toMilliseconds(event.m_at)},
                          {"job", event.m_task.m_job.value()},
                          {"attempt", event.m_task.m_attempt},
                          {"task", event.m_task.m_task},
                          {"phase", platform::phaseName(event.m_phase)}});
    }
    return {statusOk, boost::json::serialize(events), "application/json", {}};
}

void WorkerService::recordUsage(fleet::TimePoint now)
{
    const auto used = usedResources(m_worker);
    if (m_usageHistory.empty() || !(m_usageHistory.back().m_used == used)) {
        m_usageHistory.push_back({now, used});
    }
}

}
