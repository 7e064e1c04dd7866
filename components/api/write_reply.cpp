#include "components/api/write_reply.hpp"

#include "components/api/configuration_json.hpp"
#include "components/api/error.hpp"
#include "components/api/fleet_json.hpp"
#include "components/api/status_json.hpp"

#include <boost/json.hpp>

namespace api
{

namespace
{

constexpr int statusOk = 200;
constexpr int statusAccepted = 202;
constexpr int statusUnavailable = 503;

http::Response respond(int status, const boost::json::value &body)
{
    http::Response response;
    response.m_status = status;
    response.m_body = boost::json::serialize(body);
    return response;
}

void addRunState(boost::json::object &object, RunState state)
{
    if (state != RunState::NotApplicable) {
        object["runState"] = runStateName(state);
    }
}

boost::json::object writeJob(const JobView &job)
{
    boost::json::array workers;
    for (const fleet::WorkerId &worker : job.m_workers) {
        workers.emplace_back(worker.value());
    }
    boost::json::array history;
    for (const HistoryLine &line : job.m_history) {
        history.push_back({{"at", fleet::toMilliseconds(line.m_at)}, {"text", line.m_text}});
    }
    boost::json::object object {{"job", toJson(job.m_spec)},
                                {"phase", phaseName(job)},
                                {"zone", job.m_zone.value()},
                                {"attempt", job.m_attempt},
                                {"workers", std::move(workers)},
                                {"reason", job.m_reason},
                                {"history", std::move(history)}};
    if (job.m_outcome) {
        object["outcome"] = outcomeName(*job.m_outcome);
        object["endedAt"] = fleet::toMilliseconds(job.m_endedAt);
    }
    addRunState(object, runStateOf(job));
    return object;
}

http::Response write(const Refusal &refusal)
{
    const ErrorTraits &traits = traitsOf(refusal.m_kind);
    boost::json::object body {{"error", traits.m_name}, {"message", refusal.m_message}};
    addRunState(body, traits.m_runState);
    return respond(traits.m_httpStatus, body);
}

http::Response write(const Health &health)
{
    return respond(health.m_isAcceptingCalls ? statusOk : statusUnavailable, {{"taking", health.m_isAcceptingCalls}});
}

http::Response write(const MetricsText &metrics)
{
    http::Response response;
    response.m_contentType = "text/plain; version=0.0.4";
    response.m_body = metrics.m_text;
    return response;
}

http::Response write(const JobAccepted &accepted)
{
    return respond(statusAccepted, {{"id", accepted.m_job.value()}, {"zone", accepted.m_zone.value()}});
}

http::Response write(const CancelAccepted &accepted)
{
    return respond(statusAccepted, {{"id", accepted.m_job.value()}});
}

http::Response write(const JobView &job)
{
    return respond(statusOk, writeJob(job));
}

http::Response write(const JobList &list)
{
    boost::json::array jobs;
    for (const JobView &job : list.m_jobs) {
        jobs.push_back(writeJob(job));
    }
    return respond(statusOk, {{"jobs", std::move(jobs)}});
}

http::Response write(const RequestIds &ids)
{
    boost::json::array list;
    for (const fleet::RequestId &id : ids.m_ids) {
        list.emplace_back(id.value());
    }
    return respond(statusOk, {{"ids", std::move(list)}});
}

http::Response write(const RequestView &request)
{
    boost::json::object body {{"id", request.m_id.value()}, {"attempt", request.m_attempt}};
    addRunState(body, request.m_runState);
    if (request.m_runState == RunState::Done) {
        body["body"] = request.m_body;
    }
    return respond(request.m_runState == RunState::NotApplicable ? statusAccepted : statusOk, body);
}

http::Response write(const ConfigurationView &shown)
{
    return respond(statusOk, toJson(shown.m_configuration, shown.m_now));
}

http::Response write(const ChangeAccepted &accepted)
{
    return respond(statusOk, {{"changeId", accepted.m_result.m_id.value()}, {"version", accepted.m_result.m_version.m_value}, {"state", "accepted"}});
}

http::Response write(const ZoneOutProvisional &zone)
{
    return respond(statusAccepted, {{"zone", zone.m_zone.value()}, {"state", zone.m_inForce ? "provisional-in-force" : "provisional-spreading"}});
}

http::Response write(const StatusView &status)
{
    return respond(statusOk, toJson(status));
}

std::string contentTypeOf(ReportFormat format)
{
    switch (format) {
    case ReportFormat::Text:
        return "text/plain; charset=utf-8";
    case ReportFormat::Json:
        return "application/json";
    case ReportFormat::Html:
        return "text/html; charset=utf-8";
    }
    return {};
}

http::Response write(const ReportDocument &report)
{
    http::Response response;
    response.m_contentType = contentTypeOf(report.m_format);
    response.m_body = report.m_text;
    return response;
}

}

http::Response toResponse(const Reply &reply)
{
    return std::visit(
        [](const auto &value) {
            return write(value);
        },
        reply);
}

Refusal toRefusal(const Error &error)
{
    return {error.kind(), error.what()};
}

}
