#include "components/cli/api_client.hpp"
#include "components/cli/arguments.hpp"
#include "components/cli/command.hpp"
#include "components/cli/command_error.hpp"
#include "components/cli/options.hpp"
#include "components/cli/session.hpp"
#include "components/cli/shape_option.hpp"

#include <boost/json.hpp>

#include <sstream>

#include <criterion/criterion.h>

namespace
{

/// Answers each exchange with the next result of a list and records the requests.
struct ClientFixture
{
    std::vector<http::Result> m_results;
    std::vector<http::Request> m_requests;
    std::ostringstream m_out;
    cli::ApiClient m_client {{{"127.0.0.1", 1}, {"127.0.0.1", 2}}, "token", [this](const http::Address &, const http::Request &request) {
                                 m_requests.push_back(request);
                                 return m_results.at(m_requests.size() - 1);
                             }};

    void run(const std::vector<std::string> &words)
    {
        const auto makeId = [] {
            return std::string("id-1");
        };
        cli::runCommand({m_client, "meera", cli::OutputFormat::Table, m_out, fleet::fromMilliseconds(1000), makeId}, words);
    }

    /// Runs the command and returns its exit code.
    cli::ExitCode exitCodeOf(const std::vector<std::string> &words)
    {
        try {
            run(words);
        } catch (const cli::CommandError &error) {
            return error.code();
        }
        return cli::ExitCode::Ok;
    }
};

http::Result answered(int status, const std::string &body)
{
    return {http::ResultKind::Answered, {status, body}, {}};
}

const http::Result notSent {http::ResultKind::NotSent, {}, "refused"};
const http::Result unknown {http::ResultKind::Unknown, {}, "timeout"};

}

Test(apiClient, firstInstanceNotReached_asksTheNext)
{
    ClientFixture fixture;
    fixture.m_results = {notSent, answered(202, R"({"id":"id-1","zone":"kochi"})")};
    fixture.run({"jobs", "submit", "--account", "ads", "--kind", "render", "--tasks", "8"});
    cr_assert_eq(fixture.m_requests.size(), 2);
    cr_assert(fixture.m_out.str() == "job id-1 accepted for zone kochi\n");
}

Test(apiClient, callThatMayHaveBeenSent_isNotRetried)
{
    ClientFixture fixture;
    fixture.m_results = {unknown, answered(202, "{}")};
    cr_assert(fixture.exitCodeOf({"jobs", "cancel", "j"}) == cli::ExitCode::OutcomeUnknown);
    cr_assert_eq(fixture.m_requests.size(), 1);
}

Test(apiClient, refusalAndUnknownOutcome_haveTheirExitCodes)
{
    ClientFixture fixture;
    fixture.m_results = {answered(503, R"({"error":"draining","message":"m","runState":"did-not-run"})"),
                         answered(504, R"({"error":"outcome-unknown","message":"m","runState":"outcome-unknown"})"),
                         notSent,
                         notSent};
    cr_assert(fixture.exitCodeOf({"jobs", "show", "j"}) == cli::ExitCode::Refused);
    cr_assert(fixture.exitCodeOf({"jobs", "show", "j"}) == cli::ExitCode::OutcomeUnknown);
    cr_assert(fixture.exitCodeOf({"jobs", "show", "j"}) == cli::ExitCode::Unreachable);
}

Test(command, changeWithoutVersion_usesTheVersionInForce)
{
    ClientFixture fixture;
    fixture.m_results = {answered(200, R"({"version":7})"), answered(200, R"({"state":"accepted","version":8})")};
    fixture.run({"zones", "out", "kochi", "--reason", "power work"});
    const boost::json::value body = boost::json::parse(fixture.m_requests.at(1).m_body);
    cr_assert_eq(body.at("madeFrom").as_int64(), 7);
    cr_assert(body.at("reason").as_string() == "power work");
    cr_assert(fixture.m_out.str() == "accepted as version 8\n");
}

Test(command, unknownCommandOrOption_isAUsageError)
{
    ClientFixture fixture;
    cr_assert(fixture.exitCodeOf({"jobs", "destroy"}) == cli::ExitCode::Usage);
    cr_assert(fixture.exitCodeOf({"jobs", "show"}) == cli::ExitCode::Usage);
    cr_assert(fixture.exitCodeOf({"jobs", "show", "a", "b"}) == cli::ExitCode::Usage);
    cr_assert(fixture.exitCodeOf({"jobs", "show", "a", "--loud"}) == cli::ExitCode::Usage);
    cr_assert(fixture.exitCodeOf({"jobs", "submit", "--account", "a", "--kind", "k", "--tasks", "many"}) == cli::ExitCode::Usage);
    cr_assert(fixture.m_requests.empty());
}

Test(shapeOption, everyPart_isRead)
{
    const fleet::GuaranteedShape guarantee = cli::parseGuarantee("tasks=8,accelerators=1,cores=4,memory-mb=8000,adjacency=same-rack,count=2,zones=a/b");
    cr_assert(guarantee.m_shape == (fleet::Shape {8, {4000, 8000, 1}, fleet::Adjacency::SameRack}));
    cr_assert_eq(guarantee.m_count, 2);
    cr_assert(guarantee.m_zones == (std::vector {fleet::ZoneId("a"), fleet::ZoneId("b")}));
}

Test(options, optionsAroundTheCommand_areParsed)
{
    const cli::Options options = cli::parseOptions({"--settings", "f.toml", "status", "--output", "json"});
    cr_assert(options.m_settingsFile == "f.toml");
    cr_assert(options.m_format == cli::OutputFormat::Json);
    cr_assert(options.m_words == std::vector<std::string> {"status"});
}
