#include "components/standin/runner_service.hpp"

#include "components/platform/runner_codec.hpp"
#include "components/standin/event_loop.hpp"
#include "components/standin/routes.hpp"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <utility>

namespace standin
{

namespace
{

constexpr int statusOk = 200;
constexpr int statusUnavailable = 503;

}

RunnerService::RunnerService(EventLoop &loop, fleet::RunnerId id, int slots, fleet::Duration runTime)
    : Service(loop, std::nullopt)
    , m_runTime(runTime)
{
    m_runner.m_id = std::move(id);
    m_runner.m_slots = slots;
}

void RunnerService::serve(const http::Request &request, fleet::TimePoint now, const FaultInjector::Reply &reply)
{
    if (matchesRoute(request, "POST", "/v1/run")) {
        run(platform::decodeRunRequest(request.m_body), now, reply);
    } else if (matchesRoute(request, "GET", "/v1/load")) {
        reply({statusOk, platform::encodeLoad({now, m_runner.m_slotsUsed, m_runner.m_slotsUsed}), "application/json", {}});
    } else if (isInspection(request)) {
        reply(received());
    } else {
        reply(unknownPathResponse());
    }
}

bool RunnerService::isInspection(const http::Request &request) const
{
    return matchesRoute(request, "GET", "/v1/received");
}

void RunnerService::run(const platform::RunRequest &request, fleet::TimePoint now, const FaultInjector::Reply &reply)
{
    if (!startRequest(m_runner, request, now)) {
        reply({statusUnavailable, platform::encodeDidNotRun(request), "application/json", {}});
        return;
    }
    m_loop.postAfter(m_runTime, [this, request, reply](fleet::TimePoint) {
        finishRequest(m_runner);
        reply({statusOk, platform::encodeRunDone(request, buildAnswer(m_runner, request)), "application/json", {}});
    });
}

http::Response RunnerService::received() const
{
    boost::json::array entries;
    for (const auto &entry : m_runner.m_received) {
        entries.push_back({{"at", fleet::toMilliseconds(entry.m_at)},
                           {"request", entry.m_request.m_request.value()},
                           {"attempt", entry.m_request.m_attempt},
                           {"account", entry.m_request.m_account.value()},
                           {"kind", entry.m_request.m_kind},
                           {"ran", entry.m_accepted}});
    }
    return {statusOk, boost::json::serialize(entries), "application/json", {}};
}

}
