#include "components/cli/api_client.hpp"

#include "components/cli/command_error.hpp"

#include <boost/json.hpp>

#include <utility>

namespace cli
{

namespace
{

constexpr int firstErrorStatus = 400;

std::string memberText(const boost::json::value &value, std::string_view key)
{
    const boost::json::object *object = value.if_object();
    const boost::json::value *member = object ? object->if_contains(key) : nullptr;
    return member && member->is_string() ? std::string(member->as_string()) : std::string();
}

[[noreturn]] void throwRefusal(const http::Response &response, const boost::json::value &body)
{
    const std::string kind = memberText(body, "error");
    const std::string state = memberText(body, "runState");
    std::string message = memberText(body, "message");
    if (message.empty())
        message = "the instance answered with status " + std::to_string(response.m_status) + "; check its log";
    if (!state.empty())
        message += " [" + state + "]";
    const ExitCode code = state == "outcome-unknown" ? ExitCode::OutcomeUnknown : ExitCode::Refused;
    throw CommandError(code, kind.empty() ? message : kind + ": " + message);
}

boost::json::value readResponse(const http::Response &response)
{
    boost::system::error_code error;
    boost::json::value body = boost::json::parse(response.m_body, error);
    if (error)
        body = boost::json::string(response.m_body);
    if (response.m_status >= firstErrorStatus)
        throwRefusal(response, body);
    return body;
}

}

ApiClient::ApiClient(std::vector<http::Address> instances, std::string operatorToken, Exchange exchange)
    : m_instances(std::move(instances))
    , m_operatorToken(std::move(operatorToken))
    , m_exchange(std::move(exchange))
{
}

http::Request ApiClient::makeRequest(const std::string &method, const std::string &target, const boost::json::value &body) const
{
    http::Request request;
    request.m_method = method;
    request.m_target = target;
    if (!m_operatorToken.empty())
        request.m_headers.push_back({"Authorization", "Bearer " + m_operatorToken});
    if (!body.is_null()) {
        request.m_headers.push_back({"Content-Type", "application/json"});
        request.m_body = boost::json::serialize(body);
    }
    return request;
}

boost::json::value ApiClient::call(const std::string &method, const std::string &target, const boost::json::value &body) const
{
    const http::Request request = makeRequest(method, target, body);
    std::string reasons;
    for (const http::Address &instance : m_instances) {
        const http::Result result = m_exchange(instance, request);
        if (result.m_kind == http::ResultKind::Answered)
            return readResponse(result.m_response);
        if (result.m_kind == http::ResultKind::Unknown && method != "GET")
            throw CommandError(ExitCode::OutcomeUnknown,
                               "the call was sent to " + toString(instance) + " but not answered: " + result.m_reason
                                   + "; check the status or repeat the call with the same id");
        reasons += "\n  " + toString(instance) + ": " + result.m_reason;
    }
    throw CommandError(ExitCode::Unreachable, "no instance could be reached; check 'instances' in the settings" + reasons);
}

boost::json::value ApiClient::callInstance(const http::Address &instance, const std::string &method, const std::string &target) const
{
    const http::Result result = m_exchange(instance, makeRequest(method, target, nullptr));
    if (result.m_kind == http::ResultKind::Answered)
        return readResponse(result.m_response);
    throw CommandError(ExitCode::Unreachable, toString(instance) + " could not be reached: " + result.m_reason + "; check that it runs");
}

}
