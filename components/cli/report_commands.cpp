#include "components/cli/report_commands.hpp"

#include "components/cli/api_client.hpp"
#include "components/cli/command_error.hpp"
#include "components/cli/print.hpp"
#include "components/cli/session.hpp"
#include "components/http/request_target.hpp"

#include <boost/json.hpp>

#include <chrono>
#include <ostream>
#include <thread>

namespace cli
{

namespace
{

constexpr std::chrono::seconds watchInterval {2};

report::Table zonesTable(const boost::json::value &status)
{
    report::Table table {"Availability zones", {"ZONE", "OUT", "STARTS ALLOWED", "HOLDER", "WORKERS", "ACCELERATORS"}, {}};
    for (const boost::json::value &zone : status.at("zones").as_array()) {
        table.m_rows.push_back({cell(zone, "zone"),
                                cell(zone, "provisional") == "yes" ? "provisionally" : cell(zone, "out"),
                                cell(zone, "startsAllowed"),
                                cell(zone, "holder"),
                                cell(zone, "liveWorkers"),
                                cell(zone, "accelerators")});
    }
    return table;
}

report::Table accountsTable(const boost::json::value &status)
{
    report::Table table {"Client accounts", {"ACCOUNT", "GUARANTEED", "USED", "BORROWED", "RUNNING JOBS", "WAITING JOBS"}, {}};
    for (const boost::json::value &account : status.at("accounts").as_array()) {
        table.m_rows.push_back({cell(account, "account"),
                                cell(account, "guaranteed"),
                                cell(account, "used"),
                                cell(account, "borrowed"),
                                cell(account, "runningJobs"),
                                cell(account, "waitingJobs")});
    }
    return table;
}

report::Table waitingTable(const boost::json::value &status)
{
    report::Table table {"Waiting jobs", {"WAITING JOB", "ACCOUNT", "ZONE", "WHY"}, {}};
    for (const boost::json::value &job : status.at("waiting").as_array()) {
        table.m_rows.push_back({cell(job, "id"), cell(job, "account"), cell(job, "zone"), cell(job, "why")});
    }
    return table;
}

report::Table quarantineTable(const boost::json::value &status)
{
    report::Table table {"Quarantined workers", {"QUARANTINED WORKER", "WHY"}, {}};
    for (const boost::json::value &worker : status.at("quarantined").as_array()) {
        table.m_rows.push_back({cell(worker, "worker"), cell(worker, "why")});
    }
    return table;
}

/// One row per instance: first the reachable ones, then the others, each in the order of the settings.
report::Table instancesTable(const boost::json::array &statuses, const std::vector<std::string> &unreachable)
{
    report::Table table {"Instances", {"INSTANCE", "ZONE", "CONFIGURATION", "LOG REACHABLE", "LOG LAG", "STOPPING"}, {}};
    for (const boost::json::value &status : statuses) {
        table.m_rows.push_back({cell(status, "instance"),
                                cell(status, "zone"),
                                cell(status, "configurationVersion"),
                                cell(status, "logReachable"),
                                secondsCell(status, "logLagMs"),
                                cell(status, "stopping")});
    }
    for (const std::string &address : unreachable) {
        table.m_rows.push_back({address, "not reachable"});
    }
    return table;
}

std::string renderStatus(const boost::json::array &statuses, const std::vector<std::string> &unreachable)
{
    const boost::json::value &first = statuses.front();
    return report::renderText(instancesTable(statuses, unreachable)) + "\n" + report::renderText(zonesTable(first)) + "\n"
        + report::renderText(accountsTable(first)) + "\n" + report::renderText(waitingTable(first)) + "\n" + report::renderText(quarantineTable(first));
}

void printStatus(const Session &session)
{
    boost::json::array statuses;
    std::vector<std::string> unreachable;
    for (const http::Address &instance : session.m_client.instances()) {
        try {
            statuses.push_back(session.m_client.callInstance(instance, "GET", "/v1/status"));
        } catch (const CommandError &error) {
            if (error.code() != ExitCode::Unreachable) {
                throw;
            }
            unreachable.push_back(toString(instance));
        }
    }
    if (statuses.empty()) {
        throw CommandError(ExitCode::Unreachable, "no instance could be reached; check 'instances' in the settings");
    }
    print(session, statuses, renderStatus(statuses, unreachable));
}

void showStatus(const Session &session, const Arguments &arguments)
{
    printStatus(session);
    while (arguments.flag("watch")) {
        std::this_thread::sleep_for(watchInterval);
        session.m_out << '\n';
        printStatus(session);
        session.m_out.flush();
    }
}

void showReport(const Session &session, const Arguments &arguments, const std::string &kind)
{
    std::string target = "/v1/reports/" + kind;
    if (session.m_format == OutputFormat::Json) {
        target += "?format=json";
    } else {
        target += arguments.flag("html") ? "?format=html" : "?format=text";
    }
    if (arguments.has("month")) {
        target += "&month=" + http::percentEncode(arguments.required("month"));
    }
    const boost::json::value report = session.m_client.call("GET", target);
    print(session, report, report.is_string() ? std::string(report.as_string()) : std::string());
}

void reportDelivery(const Session &session, const Arguments &arguments)
{
    showReport(session, arguments, "delivery");
}

void reportExceptions(const Session &session, const Arguments &arguments)
{
    showReport(session, arguments, "exceptions");
}

void reportSlo(const Session &session, const Arguments &arguments)
{
    showReport(session, arguments, "slo");
}

}

std::vector<Command> reportCommands()
{
    return {
        {"status", "[--watch]", {{}, {"watch"}, {}}, showStatus},
        {"report delivery", "[--month YYYY-MM] [--html]", {{"month"}, {"html"}, {}}, reportDelivery},
        {"report exceptions", "[--month YYYY-MM]", {{"month"}, {}, {}}, reportExceptions},
        {"report slo", "", {}, reportSlo},
    };
}

}
