#include "components/platform_standin/worker_server_codec.hpp"

#include "components/http/request.hpp"
#include "components/http/response.hpp"
#include "platform/json_reading.hpp"
#include "platform/worker_codec.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace platform_standin
{

namespace
{

namespace json = boost::json;

constexpr int statusConflict = 409;
constexpr int statusBadRequest = 400;
constexpr int statusUnavailable = 503;

std::optional<jobs::RunId> readRun(const json::object &body)
{
    const auto task = platform::parseTaskName(platform::textAt(body, "task").value_or(""));
    const auto run = platform::integerAt(body, "run_id");
    return task && run ? std::optional(jobs::RunId {*task, static_cast<std::uint32_t>(*run)}) : std::nullopt;
}

fleet::FencingToken readToken(const json::object &body)
{
    return {static_cast<std::uint64_t>(platform::integerAt(body, "fencing_token").value_or(0))};
}

const char *conflictReason(workers::OrderOutcome outcome)
{
    switch (outcome) {
    case workers::OrderOutcome::Fenced:
        return "fence";
    case workers::OrderOutcome::RunIsOver:
        return "old";
    case workers::OrderOutcome::LeaseExpired:
        return "late";
    case workers::OrderOutcome::NoCapacity:
        return "room";
    case workers::OrderOutcome::BadTicket:
        return "ticket";
    default:
        return "";
    }
}

const char *runEndName(jobs::RunEnd end)
{
    switch (end) {
    case jobs::RunEnd::Done:
        return "done";
    case jobs::RunEnd::Failed:
        return "failed";
    case jobs::RunEnd::Stopped:
        return "stopped";
    case jobs::RunEnd::GangBroken:
        return "broken";
    case jobs::RunEnd::GangIncomplete:
        return "alone";
    default:
        return "lapsed";
    }
}

}

std::optional<workers::StartOrder> decodeStartRequest(const http::Request &request, const workers::WorkerIncarnation &target)
{
    const auto body = platform::parseObject(request.m_body);
    const auto run = body ? readRun(*body) : std::nullopt;
    if (!run) {
        return std::nullopt;
    }
    workers::StartOrder order;
    order.m_target = target;
    order.m_run = *run;
    order.m_payload = platform::textAt(*body, "task_spec").value_or("");
    order.m_leaseUntilMs = platform::integerAt(*body, "deadline_ms").value_or(0);
    order.m_token = readToken(*body);
    order.m_checkpoint = platform::textAt(*body, "checkpoint").value_or("");
    order.m_ticket = platform::textAt(*body, "ticket").value_or("");
    return order;
}

std::optional<workers::StopOrder> decodeStopRequest(const http::Request &request, const workers::WorkerIncarnation &target)
{
    const auto body = platform::parseObject(request.m_body);
    const auto run = body ? readRun(*body) : std::nullopt;
    return run ? std::optional(workers::StopOrder {target, {}, *run, readToken(*body)}) : std::nullopt;
}

std::optional<workers::PollOrder> decodePollRequest(const http::Request &request, const workers::WorkerIncarnation &target)
{
    const auto body = platform::parseObject(request.m_body);
    if (!body) {
        return std::nullopt;
    }
    workers::PollOrder order;
    order.m_target = target;
    order.m_token = readToken(*body);
    order.m_acknowledgedUpTo = static_cast<std::uint64_t>(platform::integerAt(*body, "observed").value_or(0));
    order.m_leaseUntilMs = platform::integerAt(*body, "deadline_ms");
    order.m_wait = fleet::Duration(platform::integerAt(*body, "wait_ms").value_or(0));
    return order;
}

http::Response encodeOrderResponse(const workers::OrderResult &result)
{
    http::Response response;
    json::object body;
    if (result.m_clockMs) {
        body["clock_ms"] = *result.m_clockMs;
    }
    switch (result.m_outcome) {
    case workers::OrderOutcome::Done:
        break;
    case workers::OrderOutcome::Malformed:
        response.m_status = statusBadRequest;
        break;
    case workers::OrderOutcome::Unhealthy:
        response.m_status = statusUnavailable;
        break;
    default:
        response.m_status = statusConflict;
        body["reason"] = conflictReason(result.m_outcome);
        break;
    }
    response.m_body = json::serialize(body);
    return response;
}

http::Response encodePollResponse(const workers::PollResult &result, std::int64_t startedAtMs)
{
    http::Response response;
    if (result.m_outcome == workers::PollOutcome::Fenced) {
        response.m_status = statusConflict;
        response.m_body = json::serialize(json::object {{"clock_ms", result.m_clockMs}, {"reason", "fence"}});
        return response;
    }
    json::array running;
    for (const workers::RunningTask &task : result.m_running) {
        running.push_back(json::array {platform::taskName(task.m_run.m_task), task.m_run.m_run, task.m_checkpoint, task.m_percent, 0});
    }
    json::array ended;
    for (const workers::EndedTask &task : result.m_ended) {
        ended.push_back(json::array {task.m_number, platform::taskName(task.m_run.m_task), task.m_run.m_run, runEndName(task.m_end), task.m_checkpoint});
    }
    response.m_body = json::serialize(
        json::object {{"clock_ms", result.m_clockMs}, {"born", startedAtMs}, {"running", std::move(running)}, {"finished", std::move(ended)}});
    return response;
}

std::string encodeRegistration(const workers::Registration &registration, std::int64_t clockMs, std::uint64_t sequence)
{
    const fleet::Resources &capacity = registration.m_capacity;
    const json::object entry {
        {"service", registration.m_service.value()},
        {"address", registration.m_address},
        {"zone", registration.m_zone.value()},
        {"version", "v1"},
        {"slots", capacity.m_accelerators},
        {"state", registration.m_isDraining ? "draining" : "ready"},
        {"cold_left_ms", 0},
        {"capacity", json::object {{"cpu", capacity.m_milliCores}, {"mem_mb", capacity.m_memoryMb}, {"gpu", capacity.m_accelerators}}},
        {"labels", json::array {registration.m_kind, registration.m_rack.value()}},
        {"machine", registration.m_machine.value()},
        {"clock_ms", clockMs},
        {"born", registration.m_incarnation.m_startedAtMs},
        {"seq", sequence},
    };
    return json::serialize(entry);
}

}
