#include "components/cli/request_commands.hpp"

#include "components/cli/api_client.hpp"
#include "components/cli/print.hpp"
#include "components/cli/session.hpp"
#include "components/http/request_target.hpp"

#include <boost/json.hpp>

namespace cli
{

namespace
{

constexpr std::int64_t defaultTimeoutMs = 5000;

boost::json::string issueRequestId(const Session &session)
{
    const boost::json::value answer = session.m_client.call("POST", "/v1/request-ids", boost::json::object {{"count", 1}});
    return answer.at("ids").as_array().at(0).as_string();
}

void printRequest(const Session &session, const boost::json::value &answer)
{
    const report::Table table {"Request",
                               {"REQUEST", "ATTEMPT", "RUN STATE", "ANSWER"},
                               {{cell(answer, "id"), cell(answer, "attempt"), cell(answer, "runState"), cell(answer, "body")}}};
    print(session, answer, table);
}

void sendRequest(const Session &session, const Arguments &arguments)
{
    boost::json::object body {{"account", arguments.required("account")},
                              {"kind", arguments.required("kind")},
                              {"attempt", arguments.integer("attempt", 1)},
                              {"idempotent", arguments.flag("idempotent")},
                              {"urgency", arguments.text("urgency", "normal")},
                              {"timeoutMs", arguments.milliseconds("timeout", defaultTimeoutMs)},
                              {"body", arguments.text("body", "")}};
    body["id"] = arguments.has("id") ? boost::json::string(arguments.required("id")) : issueRequestId(session);
    printRequest(session, session.m_client.call("POST", "/v1/requests", body));
}

void showRequest(const Session &session, const Arguments &arguments)
{
    printRequest(session, session.m_client.call("GET", "/v1/requests/" + http::percentEncode(arguments.positional("REQUEST"))));
}

}

std::vector<Command> requestCommands()
{
    return {
        {"requests send",
         "--account A --kind K [--body TEXT] [--idempotent] [--urgency background|normal|urgent] [--timeout TIME] [--id REQUEST --attempt N]",
         {{"account", "kind", "body", "urgency", "timeout", "id", "attempt"}, {"idempotent"}, {}},
         sendRequest},
        {"requests show", "REQUEST", {{}, {}, {"REQUEST"}}, showRequest},
    };
}

}
