#include "components/cli/operator_commands.hpp"

#include "components/api/fleet_json.hpp"
#include "components/cli/api_client.hpp"
#include "components/cli/command_error.hpp"
#include "components/cli/print.hpp"
#include "components/cli/session.hpp"
#include "components/cli/shape_option.hpp"
#include "components/http/request_target.hpp"

#include <boost/json.hpp>

#include <fstream>
#include <iterator>

namespace cli
{

namespace
{

boost::json::value showConfiguration(const Session &session)
{
    return session.m_client.call("GET", "/v1/configuration");
}

/// Returns a body with the members that all changes share. The base version is the current one unless --made-from is given.
boost::json::object makeChangeBody(const Session &session, const Arguments &arguments)
{
    if (session.m_operator.empty()) {
        throw CommandError(ExitCode::Settings, "the settings contain no operator; set 'operator'");
    }
    boost::json::object body;
    body["operator"] = session.m_operator;
    body["changeId"] = session.m_makeId();
    body["madeFrom"] = arguments.has("made-from") ? boost::json::value(arguments.integer("made-from", 0)) : showConfiguration(session).at("version");
    return body;
}

void sendChange(const Session &session, const std::string &method, const std::string &target, const boost::json::object &body)
{
    const boost::json::value answer = session.m_client.call(method, target, body);
    const std::string state = cell(answer, "state");
    print(session, answer, state == "accepted" ? "accepted as version " + cell(answer, "version") : state);
}

boost::json::array readGuarantees(const Arguments &arguments)
{
    boost::json::array guarantees;
    for (const std::string &text : arguments.all("guarantee")) {
        guarantees.push_back(api::toJson(parseGuarantee(text)));
    }
    return guarantees;
}

std::string pathOf(const std::string &collection, const std::string &name, const std::string &verb = {})
{
    return "/v1/" + collection + "/" + http::percentEncode(name) + (verb.empty() ? "" : "/" + verb);
}

boost::json::value readFile(const std::string &path)
{
    std::ifstream file(path);
    const std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    boost::system::error_code error;
    boost::json::value value = boost::json::parse(text, error);
    if (!file || error || !value.is_object()) {
        throw CommandError(ExitCode::Usage, path + " cannot be read as a JSON object; correct its name or its content");
    }
    return value;
}

/// Sends one part of a configuration file as a separate change.
void putFilePart(const Session &session, const Arguments &arguments, const std::string &target, const boost::json::object &part)
{
    boost::json::object body = makeChangeBody(session, arguments);
    for (const auto &member : part) {
        body[member.key()] = member.value();
    }
    body.erase("id");
    sendChange(session, "PUT", target, body);
}

/// Applies the defaults and the accounts of a configuration file, each as a separate change.
void applyFile(const Session &session, const Arguments &arguments)
{
    const boost::json::object file = readFile(arguments.positional("FILE")).as_object();
    if (const boost::json::value *defaults = file.if_contains("defaults")) {
        putFilePart(session, arguments, "/v1/defaults", defaults->as_object());
    }
    if (const boost::json::value *accounts = file.if_contains("accounts")) {
        for (const boost::json::value &account : accounts->as_array()) {
            putFilePart(session, arguments, pathOf("accounts", cell(account, "id")), account.as_object());
        }
    }
}

void listAccounts(const Session &session, const Arguments &)
{
    const boost::json::value configuration = showConfiguration(session);
    report::Table table {"Client accounts", {"ACCOUNT", "GUARANTEE"}, {}};
    for (const boost::json::value &account : configuration.at("accounts").as_array()) {
        const boost::json::array &guarantees = account.at("guarantees").as_array();
        if (guarantees.empty()) {
            table.m_rows.push_back({cell(account, "id"), "-"});
        }
        for (const boost::json::value &guarantee : guarantees) {
            table.m_rows.push_back({cell(account, "id"), guaranteeText(guarantee)});
        }
    }
    print(session, configuration.at("accounts"), table);
}

void putAccount(const Session &session, const Arguments &arguments)
{
    boost::json::object body = makeChangeBody(session, arguments);
    body["guarantees"] = readGuarantees(arguments);
    sendChange(session, "PUT", pathOf("accounts", arguments.positional("ACCOUNT")), body);
}

void removeAccount(const Session &session, const Arguments &arguments)
{
    sendChange(session, "POST", pathOf("accounts", arguments.positional("ACCOUNT"), "remove"), makeChangeBody(session, arguments));
}

void showDefaults(const Session &session, const Arguments &)
{
    const boost::json::value defaults = showConfiguration(session).at("defaults");
    const report::Table table {"Defaults",
                               {"QUOTA IN A ZONE", "URGENT AN HOUR", "WEIGHT"},
                               {{resourcesText(defaults.at("quota")), cell(defaults, "urgentPerHour"), cell(defaults, "weight")}}};
    print(session, defaults, table);
}

void setDefaults(const Session &session, const Arguments &arguments)
{
    boost::json::object body = makeChangeBody(session, arguments);
    const boost::json::value current = showConfiguration(session).at("defaults");
    body["quota"] = arguments.has("quota") ? api::toJson(parseResources(arguments.required("quota"))) : current.at("quota");
    body["urgentPerHour"] = arguments.has("urgent-per-hour") ? boost::json::value(arguments.integer("urgent-per-hour", 0)) : current.at("urgentPerHour");
    body["weight"] = arguments.has("weight") ? boost::json::value(arguments.number("weight", 1.0)) : current.at("weight");
    sendChange(session, "PUT", "/v1/defaults", body);
}

void listExceptions(const Session &session, const Arguments &)
{
    const boost::json::value configuration = showConfiguration(session);
    report::Table table {"Exceptions", {"EXCEPTION", "ACCOUNT", "ZONE", "IN FORCE", "UNTIL", "OPERATOR", "REASON"}, {}};
    for (const boost::json::value &exception : configuration.at("exceptions").as_array()) {
        table.m_rows.push_back({cell(exception, "id"),
                                cell(exception, "account"),
                                cell(exception, "zone"),
                                cell(exception, "inForce"),
                                timeCell(exception, "until"),
                                cell(exception, "operator"),
                                cell(exception, "reason")});
    }
    print(session, configuration.at("exceptions"), table);
}

void addOverrides(boost::json::object &body, const Arguments &arguments)
{
    if (arguments.has("guarantee")) {
        body["guarantees"] = readGuarantees(arguments);
    }
    if (arguments.has("quota")) {
        body["quota"] = api::toJson(parseResources(arguments.required("quota")));
    }
    if (arguments.has("urgent-per-hour")) {
        body["urgentPerHour"] = arguments.integer("urgent-per-hour", 0);
    }
    if (arguments.has("weight")) {
        body["weight"] = arguments.number("weight", 1.0);
    }
}

void putException(const Session &session, const Arguments &arguments)
{
    const std::int64_t now = fleet::toMilliseconds(session.m_now);
    if (!arguments.has("for")) {
        throw CommandError(ExitCode::Usage, "--for is missing; give the duration of the exception, such as --for \"30 d\"");
    }
    boost::json::object body = makeChangeBody(session, arguments);
    body["reason"] = arguments.text("reason", "");
    body["account"] = arguments.text("account", "");
    body["zone"] = arguments.text("zone", "");
    body["from"] = now;
    body["until"] = now + arguments.milliseconds("for", 0);
    addOverrides(body, arguments);
    sendChange(session, "PUT", pathOf("exceptions", arguments.positional("EXCEPTION")), body);
}

void removeException(const Session &session, const Arguments &arguments)
{
    sendChange(session, "POST", pathOf("exceptions", arguments.positional("EXCEPTION"), "remove"), makeChangeBody(session, arguments));
}

void listZonesOut(const Session &session, const Arguments &)
{
    const boost::json::value configuration = showConfiguration(session);
    report::Table table {"Availability zones out", {"ZONE OUT", "SINCE", "OPERATOR", "REASON"}, {}};
    for (const boost::json::value &zone : configuration.at("zonesOut").as_array()) {
        table.m_rows.push_back({cell(zone, "zone"), timeCell(zone, "since"), cell(zone, "operator"), cell(zone, "reason")});
    }
    print(session, configuration.at("zonesOut"), table);
}

void takeZoneOut(const Session &session, const Arguments &arguments)
{
    const std::string reason = arguments.required("reason");
    boost::json::object body = makeChangeBody(session, arguments);
    body["reason"] = reason;
    sendChange(session, "POST", pathOf("zones", arguments.positional("ZONE"), "out"), body);
}

void returnZone(const Session &session, const Arguments &arguments)
{
    sendChange(session, "POST", pathOf("zones", arguments.positional("ZONE"), "back"), makeChangeBody(session, arguments));
}

}

std::vector<Command> operatorCommands()
{
    return {
        {"apply", "FILE", {{}, {}, {"FILE"}}, applyFile},
        {"accounts list", "", {}, listAccounts},
        {"accounts put", "ACCOUNT [--guarantee SHAPE]...", {{"guarantee", "made-from"}, {}, {"ACCOUNT"}}, putAccount},
        {"accounts remove", "ACCOUNT", {{"made-from"}, {}, {"ACCOUNT"}}, removeAccount},
        {"defaults show", "", {}, showDefaults},
        {"defaults set", "[--quota AMOUNT] [--urgent-per-hour N] [--weight W]", {{"quota", "urgent-per-hour", "weight", "made-from"}, {}, {}}, setDefaults},
        {"exceptions list", "", {}, listExceptions},
        {"exceptions put",
         "EXCEPTION --reason TEXT --for TIME [--account A] [--zone Z] [--guarantee SHAPE]... [--quota AMOUNT] [--urgent-per-hour N] [--weight W]",
         {{"reason", "for", "account", "zone", "guarantee", "quota", "urgent-per-hour", "weight", "made-from"}, {}, {"EXCEPTION"}},
         putException},
        {"exceptions remove", "EXCEPTION", {{"made-from"}, {}, {"EXCEPTION"}}, removeException},
        {"zones list", "", {}, listZonesOut},
        {"zones out", "ZONE --reason TEXT", {{"reason", "made-from"}, {}, {"ZONE"}}, takeZoneOut},
        {"zones back", "ZONE", {{"made-from"}, {}, {"ZONE"}}, returnZone},
    };
}

}
