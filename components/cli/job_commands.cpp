#include "components/cli/job_commands.hpp"

#include "components/cli/api_client.hpp"
#include "components/cli/print.hpp"
#include "components/cli/session.hpp"
#include "components/http/request_target.hpp"

#include <boost/json.hpp>

namespace cli
{

namespace
{

constexpr std::int64_t milliCoresPerCore = 1000;

std::string jobPath(const Arguments &arguments)
{
    return "/v1/jobs/" + http::percentEncode(arguments.positional("JOB"));
}

boost::json::object readShape(const Arguments &arguments)
{
    return {{"tasks", arguments.integer("tasks", 1)},
            {"perTask",
             {{"milliCores", arguments.integer("cores", 1) * milliCoresPerCore},
              {"memoryMb", arguments.integer("memory-mb", 1000)},
              {"accelerators", arguments.integer("accelerators", 0)}}},
            {"adjacency", arguments.text("adjacency", "same-zone")}};
}

void submitJob(const Session &session, const Arguments &arguments)
{
    boost::json::object body {{"id", arguments.text("id", session.m_makeId())},
                              {"account", arguments.required("account")},
                              {"kind", arguments.required("kind")},
                              {"shape", readShape(arguments)},
                              {"urgency", arguments.text("urgency", "normal")},
                              {"declaredRunTimeMs", arguments.milliseconds("run-time", 60'000)},
                              {"checkpointable", arguments.flag("checkpointable")}};
    if (arguments.has("zone")) {
        body["zone"] = arguments.required("zone");
    }
    const boost::json::value answer = session.m_client.call("POST", "/v1/jobs", body);
    print(session, answer, "job " + cell(answer, "id") + " accepted for zone " + cell(answer, "zone"));
}

std::vector<std::string> jobRow(const boost::json::value &view)
{
    const boost::json::value &job = view.at("job");
    return {cell(job, "id"),
            cell(job, "account"),
            cell(job, "kind"),
            cell(view, "zone"),
            cell(view, "phase"),
            cell(view, "attempt"),
            cell(view, "outcome"),
            cell(view, "runState"),
            cell(view, "reason")};
}

const std::vector<std::string> jobTitles = {"JOB", "ACCOUNT", "KIND", "ZONE", "PHASE", "ATTEMPT", "OUTCOME", "RUN STATE", "REASON"};

void showJob(const Session &session, const Arguments &arguments)
{
    const boost::json::value answer = session.m_client.call("GET", jobPath(arguments));
    print(session, answer, report::Table {"Job", jobTitles, {jobRow(answer)}});
}

void listJobs(const Session &session, const Arguments &arguments)
{
    const std::string query = arguments.has("account") ? "?account=" + http::percentEncode(arguments.required("account")) : "";
    const boost::json::value answer = session.m_client.call("GET", "/v1/jobs" + query);
    report::Table table {"Jobs", jobTitles, {}};
    for (const boost::json::value &view : answer.at("jobs").as_array()) {
        table.m_rows.push_back(jobRow(view));
    }
    print(session, answer, table);
}

void cancelJob(const Session &session, const Arguments &arguments)
{
    const boost::json::value answer = session.m_client.call("DELETE", jobPath(arguments));
    print(session, answer, "cancellation of job " + cell(answer, "id") + " accepted");
}

void explainJob(const Session &session, const Arguments &arguments)
{
    const boost::json::value answer = session.m_client.call("GET", jobPath(arguments) + "/history");
    report::Table table {"History", {"TIME", "WHAT"}, {}};
    for (const boost::json::value &line : answer.at("history").as_array()) {
        table.m_rows.push_back({timeCell(line, "at"), cell(line, "text")});
    }
    print(session, answer, table);
}

}

std::vector<Command> jobCommands()
{
    return {
        {"jobs submit",
         "--account A --kind K [--tasks N] [--accelerators N] [--cores N] [--memory-mb N] [--adjacency same-zone|same-rack|same-worker] "
         "[--run-time TIME] [--urgency background|normal|urgent] [--zone Z] [--checkpointable] [--id JOB]",
         {{"account", "kind", "tasks", "accelerators", "cores", "memory-mb", "adjacency", "run-time", "urgency", "zone", "id"}, {"checkpointable"}, {}},
         submitJob},
        {"jobs show", "JOB", {{}, {}, {"JOB"}}, showJob},
        {"jobs list", "[--account A]", {{"account"}, {}, {}}, listJobs},
        {"jobs cancel", "JOB", {{}, {}, {"JOB"}}, cancelJob},
        {"explain", "JOB", {{}, {}, {"JOB"}}, explainJob},
    };
}

}
