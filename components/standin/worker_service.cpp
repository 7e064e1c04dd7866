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

WorkerService::WorkerService(EventLoop &loop, fleet::WorkerInfo info, fleet::Duration defaultRun, fleet::Duration usageLag)
    : Service(loop, std::nullopt)
    , m_usageLag(usageLag)
{
    m_table.m_info = std::move(info);
    m_table.m_defaultRun = defaultRun;
}

const fleet::WorkerInfo &WorkerService::info() const
{
    return m_table.m_info;
}

void WorkerService::setLeaving(bool leaving)
{
    m_table.m_leaving = leaving;
}

void WorkerService::serve(const http::Request &request, fleet::TimePoint now, const FaultGate::Reply &reply)
{
    if (isCall(request, "POST", "/v1/commands")) {
        reply(takeCommands(request, now));
    } else if (isCall(request, "GET", "/v1/usage")) {
        reply(laggingUsage(now));
    } else if (isInspection(request)) {
        reply(history(now));
    } else {
        reply(unknownPath());
    }
}

void WorkerService::onFaults(const Faults &faults, fleet::TimePoint)
{
    m_table.m_failsTasks = faults.m_failTasks;
}

bool WorkerService::isInspection(const http::Request &request) const
{
    return isCall(request, "GET", "/v1/history");
}

http::Response WorkerService::takeCommands(const http::Request &request, fleet::TimePoint now)
{
    const auto message = platform::decodeCommands(request.m_body, m_table.m_info.m_id);
    const auto result = apply(m_table, message, now);
    recordUsage(now);
    return toResponse(result);
}

http::Response WorkerService::laggingUsage(fleet::TimePoint now)
{
    advance(m_table, now);
    recordUsage(now);
    while (m_usages.size() > 1 && m_usages[1].m_asOf <= now - m_usageLag) {
        m_usages.pop_front();
    }
    auto shown = m_usages.front();
    shown.m_asOf = std::min(shown.m_asOf, now - m_usageLag);
    return {statusOk, platform::encodeUsage(shown), "application/json", {}};
}

http::Response WorkerService::history(fleet::TimePoint now)
{
    advance(m_table, now);
    boost::json::array events;
    for (const auto &event : m_table.m_history) {
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
    const auto used = usedResources(m_table);
    if (m_usages.empty() || !(m_usages.back().m_used == used)) {
        m_usages.push_back({now, used});
    }
}

}
