#include "components/platform/runner_codec.hpp"

#include "components/http/result.hpp"
#include "components/platform/decode_error.hpp"
#include "components/platform/json_fields.hpp"

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

namespace platform
{

namespace
{

constexpr int statusOk = 200;
constexpr int statusUnavailable = 503;

RunResult decodeAnswer(const http::Response &response, const RunRequest &request)
{
    const auto object = parseObject(response.m_body);
    if (stringField(object, "request") != request.m_request.value() || nonNegativeIntField(object, "attempt") != request.m_attempt) {
        return {RunOutcome::Unknown, {}, "the runner's response names another request or attempt"};
    }
    if (response.m_status == statusOk) {
        return {RunOutcome::Done, stringField(object, "body"), {}};
    }
    const bool refused = response.m_status == statusUnavailable && !boolField(object, "ran", true);
    return {refused ? RunOutcome::DidNotRun : RunOutcome::Unknown, {}, "the runner answered with status " + std::to_string(response.m_status)};
}

}

std::string encodeRunRequest(const RunRequest &request)
{
    const boost::json::object object {{"request", request.m_request.value()},
                                      {"attempt", request.m_attempt},
                                      {"account", request.m_account.value()},
                                      {"kind", request.m_kind},
                                      {"body", request.m_body}};
    return boost::json::serialize(object);
}

RunRequest decodeRunRequest(std::string_view text)
{
    const auto object = parseObject(text);
    return {fleet::RequestId(stringField(object, "request")),
            nonNegativeIntField(object, "attempt"),
            fleet::AccountId(stringField(object, "account")),
            stringField(object, "kind"),
            stringField(object, "body")};
}

std::string encodeRunDone(const RunRequest &request, const std::string &body)
{
    return boost::json::serialize(boost::json::object {{"request", request.m_request.value()}, {"attempt", request.m_attempt}, {"body", body}});
}

std::string encodeDidNotRun(const RunRequest &request)
{
    return boost::json::serialize(boost::json::object {{"request", request.m_request.value()}, {"attempt", request.m_attempt}, {"ran", false}});
}

RunResult toRunResult(const http::Result &result, const RunRequest &request)
{
    if (result.m_kind == http::ResultKind::NotSent) {
        return {RunOutcome::DidNotRun, {}, result.m_reason};
    }
    if (result.m_kind == http::ResultKind::Unknown) {
        return {RunOutcome::Unknown, {}, result.m_reason};
    }
    try {
        return decodeAnswer(result.m_response, request);
    } catch (const DecodeError &error) {
        return {RunOutcome::Unknown, {}, error.what()};
    }
}

std::string encodeLoad(const RunnerLoad &load)
{
    const boost::json::object object {
        {"asOf", fleet::toMilliseconds(load.m_asOf)}, {"slotsUsed", load.m_slotsUsed}, {"connectionsUsed", load.m_connectionsUsed}};
    return boost::json::serialize(object);
}

RunnerLoad decodeLoad(std::string_view text)
{
    const auto object = parseObject(text);
    return {
        fleet::fromMilliseconds(nonNegativeField(object, "asOf")), nonNegativeIntField(object, "slotsUsed"), nonNegativeIntField(object, "connectionsUsed")};
}

}
