#include "components/api/read_call.hpp"

#include "components/api/error.hpp"
#include "components/api/fleet_json.hpp"
#include "components/api/method.hpp"
#include "components/api/object_reader.hpp"
#include "components/api/read_change.hpp"
#include "components/http/request.hpp"
#include "components/http/request_target.hpp"

#include <boost/json.hpp>

#include <optional>

namespace api
{

namespace
{

constexpr int maxIssuedIds = 1000;
constexpr int maxAttempt = 1000;
constexpr std::int64_t maxRequestTimeoutMs = 10L * 60 * 1000;

using Segments = std::vector<std::string>;

Method readMethod(const std::string &method)
{
    if (method == "GET") {
        return Method::Get;
    }
    if (method == "POST") {
        return Method::Post;
    }
    if (method == "PUT") {
        return Method::Put;
    }
    return method == "DELETE" ? Method::Delete : Method::Other;
}

boost::json::value readBody(const http::Request &request)
{
    boost::system::error_code error;
    boost::json::value value = boost::json::parse(request.m_body, error);
    if (error) {
        throw Error(ErrorKind::BadRequest, "the body is not JSON (" + error.message() + "); correct it");
    }
    return value;
}

[[noreturn]] void throwUnknownPath(const http::Request &request)
{
    throw Error(ErrorKind::NotFound, "path " + request.m_target.substr(0, 200) + " does not exist; docs/interface.md lists every path");
}

[[noreturn]] void throwMethodNotAllowed(const http::Request &request)
{
    throw Error(ErrorKind::MethodNotAllowed,
                "method " + request.m_method.substr(0, 20) + " is not allowed on this path; docs/interface.md lists the methods of every path");
}

Call readIssueRequestIds(const http::Request &request)
{
    const boost::json::value body = request.m_body.empty() ? boost::json::value(boost::json::object()) : readBody(request);
    ObjectReader reader(body, "request ids");
    const IssueRequestIds issue {static_cast<int>(reader.integer("count", 1, maxIssuedIds, 1))};
    reader.rejectUnreadMembers();
    return issue;
}

Call readSendRequest(const http::Request &request)
{
    const boost::json::value body = readBody(request);
    ObjectReader reader(body, "request");
    RequestSubmission submission;
    submission.m_id = fleet::RequestId(reader.text("id"));
    submission.m_attempt = static_cast<int>(reader.integer("attempt", 1, maxAttempt));
    submission.m_account = fleet::AccountId(reader.text("account"));
    checkName(submission.m_account.value(), "account");
    submission.m_kind = reader.text("kind");
    checkName(submission.m_kind, "kind");
    submission.m_idempotent = reader.flag("idempotent", false);
    submission.m_urgency = readUrgency(reader.text("urgency", "normal"));
    submission.m_timeout = fleet::Duration(reader.integer("timeoutMs", 1, maxRequestTimeoutMs));
    submission.m_body = reader.text("body", "");
    reader.rejectUnreadMembers();
    return SendRequest {submission};
}

Call readJobs(const http::Request &request, Method method, const Segments &path)
{
    if (path.size() == 2) {
        if (method == Method::Post) {
            return SubmitJob {readJobSpec(readBody(request))};
        }
        if (method == Method::Get) {
            return ListJobs {fleet::AccountId(http::queryValue(request.m_target, "account").value_or(""))};
        }
        throwMethodNotAllowed(request);
    }
    const fleet::JobId job(path[2]);
    if (path.size() == 3) {
        if (method == Method::Get) {
            return ShowJob {job};
        }
        if (method == Method::Delete) {
            return CancelJob {job};
        }
        throwMethodNotAllowed(request);
    }
    if (path.size() == 4 && path[3] == "history") {
        if (method == Method::Get) {
            return ExplainJob {job};
        }
        throwMethodNotAllowed(request);
    }
    throwUnknownPath(request);
}

Call readRequests(const http::Request &request, Method method, const Segments &path)
{
    if (path.size() == 2) {
        if (method == Method::Post) {
            return readSendRequest(request);
        }
        throwMethodNotAllowed(request);
    }
    if (path.size() != 3) {
        throwUnknownPath(request);
    }
    if (method != Method::Get) {
        throwMethodNotAllowed(request);
    }
    return ShowRequest {fleet::RequestId(path[2])};
}

ReportKind readReportKind(const http::Request &request, const std::string &name)
{
    if (name == "delivery") {
        return ReportKind::Delivery;
    }
    if (name == "exceptions") {
        return ReportKind::Exceptions;
    }
    if (name == "slo") {
        return ReportKind::Slo;
    }
    throwUnknownPath(request);
}

ReportFormat readReportFormat(const http::Request &request)
{
    const std::string name = http::queryValue(request.m_target, "format").value_or("json");
    if (name == "json") {
        return ReportFormat::Json;
    }
    if (name == "text") {
        return ReportFormat::Text;
    }
    if (name == "html") {
        return ReportFormat::Html;
    }
    throw Error(ErrorKind::BadRequest, "the report format is unknown; use json, text or html");
}

report::Month readMonth(const http::Request &request)
{
    const std::optional<std::string> text = http::queryValue(request.m_target, "month");
    if (!text) {
        return {};
    }
    const std::optional<report::Month> month = report::parseMonth(*text);
    if (!month) {
        throw Error(ErrorKind::BadRequest, "the month is not valid; write it as YYYY-MM, such as month=2026-12");
    }
    return *month;
}

Call readReport(const http::Request &request, const std::string &name)
{
    return ShowReport {{readReportKind(request, name), readReportFormat(request), readMonth(request)}};
}

using ReadNamedChange = configuration::Change (*)(const std::string &, const boost::json::value &);

Call readNamedChange(const http::Request &request, Method method, Method expected, const std::string &name, ReadNamedChange read)
{
    if (method != expected) {
        throwMethodNotAllowed(request);
    }
    return ChangeConfiguration {read(name, readBody(request))};
}

Call readChange(const http::Request &request, Method method, const Segments &path)
{
    const std::string &kind = path[1];
    const std::string verb = path.size() == 4 ? path[3] : std::string();
    if (kind == "defaults" && path.size() == 2) {
        if (method != Method::Put) {
            throwMethodNotAllowed(request);
        }
        return ChangeConfiguration {readSetDefaults(readBody(request))};
    }
    if (path.size() == 3 && kind == "accounts") {
        return readNamedChange(request, method, Method::Put, path[2], readPutAccount);
    }
    if (path.size() == 3 && kind == "exceptions") {
        return readNamedChange(request, method, Method::Put, path[2], readPutException);
    }
    if (kind == "accounts" && verb == "remove") {
        return readNamedChange(request, method, Method::Post, path[2], readRemoveAccount);
    }
    if (kind == "exceptions" && verb == "remove") {
        return readNamedChange(request, method, Method::Post, path[2], readRemoveException);
    }
    if (kind == "zones" && verb == "out") {
        return readNamedChange(request, method, Method::Post, path[2], readTakeZoneOut);
    }
    if (kind == "zones" && verb == "back") {
        return readNamedChange(request, method, Method::Post, path[2], readReturnZone);
    }
    throwUnknownPath(request);
}

template<class Result>
Call requireGet(const http::Request &request, Method method, const Result &result)
{
    if (method != Method::Get) {
        throwMethodNotAllowed(request);
    }
    return result;
}

}

Call readCall(const http::Request &request)
{
    const Segments path = http::pathSegments(request.m_target);
    const Method method = readMethod(request.m_method);
    if (path.size() == 1 && path[0] == "metrics") {
        return requireGet(request, method, ShowMetrics {});
    }
    if (path.size() < 2 || path.size() > 4 || path[0] != "v1") {
        throwUnknownPath(request);
    }
    if (path[1] == "jobs") {
        return readJobs(request, method, path);
    }
    if (path[1] == "requests") {
        return readRequests(request, method, path);
    }
    if (path[1] == "reports" && path.size() == 3) {
        return requireGet(request, method, readReport(request, path[2]));
    }
    if (path.size() == 2) {
        if (path[1] == "health") {
            return requireGet(request, method, ShowHealth {});
        }
        if (path[1] == "status") {
            return requireGet(request, method, ShowStatus {});
        }
        if (path[1] == "configuration") {
            return requireGet(request, method, ShowConfiguration {});
        }
        if (path[1] == "request-ids") {
            if (method != Method::Post) {
                throwMethodNotAllowed(request);
            }
            return readIssueRequestIds(request);
        }
    }
    return readChange(request, method, path);
}

}
