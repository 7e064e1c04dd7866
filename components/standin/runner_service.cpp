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
    m_table.m_id = std::move(id);
    m_table.m_slots = slots;
}

void RunnerService::serve(const http::Request &request, fleet::TimePoint now, const FaultGate::Reply &reply)
{
    if (isCall(request, "POST", "/v1/run")) {
        run(platform::decodeRunRequest(request.m_body), now, reply);
    } else if (isCall(request, "GET", "/v1/load")) {
        reply({statusOk, platform::encodeLoad({now, m_table.m_slotsUsed, m_table.m_slotsUsed}), "application/json", {}});
    } else if (isInspection(request)) {
        reply(received());
    } else {
        reply(unknownPath());
    }
}

bool RunnerService::isInspection(const http::Request &request) const
{
    return isCall(request, "GET", "/v1/received");
}

void RunnerService::run(const platform::RunRequest &request, fleet::TimePoint now, const FaultGate::Reply &reply)
{
    if (!begin(m_table, request, now)) {
        reply({statusUnavailable, platform::encodeDidNotRun(request), "application/json", {}});
        return;
    }
    m_loop.postAfter(m_runTime, [this, request, reply](fleet::TimePoint) {
        finish(m_table);
        reply({statusOk, platform::encodeRunDone(request, answerTo(m_table, request)), "application/json", {}});
    });
}

http::Response RunnerService::received() const
{
    boost::json::array entries;
    for (const auto &entry : m_table.m_received) {
        entries.push_back({{"at", fleet::toMilliseconds(entry.m_at)},
                           {"request", entry.m_request.m_request.value()},
                           {"attempt", entry.m_request.m_attempt},
                           {"account", entry.m_request.m_account.value()},
                           {"kind", entry.m_request.m_kind},
                           {"ran", entry.m_ran}});
    }
    return {statusOk, boost::json::serialize(entries), "application/json", {}};
}

}
