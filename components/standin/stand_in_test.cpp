#include "components/http/byte_count.hpp"
#include "components/http/client.hpp"
#include "components/http/request.hpp"
#include "components/http/result.hpp"
#include "components/platform/list_client.hpp"
#include "components/platform/list_codec.hpp"
#include "components/platform/log_client.hpp"
#include "components/platform/runner_client.hpp"
#include "components/platform/worker_client.hpp"
#include "components/settings/reader.hpp"
#include "components/settings/settings_error.hpp"
#include "components/standin/stand_in.hpp"

#include <future>
#include <memory>
#include <string>

#include <criterion/criterion.h>

namespace
{

constexpr fleet::Duration longTimeout {20'000};
constexpr fleet::Duration shortTimeout {200};

standin::StandInSettings fewTargets()
{
    standin::StandInSettings settings;
    settings.m_zones = {fleet::ZoneId("kochi"), fleet::ZoneId("thrissur")};
    settings.m_workers = 2;
    settings.m_workersPerRack = 1;
    settings.m_runners = 1;
    settings.m_listLag = fleet::Duration(0);
    settings.m_requestRunTime = fleet::Duration(5);
    return settings;
}

/// Starts an asynchronous call and waits for its result.
template<class Result, class Call>
Result wait(const Call &call)
{
    const auto promise = std::make_shared<std::promise<Result>>();
    call([promise](Result result) {
        promise->set_value(std::move(result));
    });
    return promise->get_future().get();
}

struct Fixture
{
    standin::StandIn m_standIn {fewTargets()};
    http::Client m_client;
    platform::LogClient m_log {m_client, m_standIn.logAddress()};
    platform::ListClient m_list {m_client, m_standIn.listAddress()};
    platform::WorkerClient m_workers {m_client};
    platform::RunnerClient m_runners {m_client};

    http::Result control(const std::string &path, const std::string &body)
    {
        return wait<http::Result>([&](auto callback) {
            m_client.send(m_standIn.controlAddress(), {"POST", path, {}, body}, longTimeout, callback);
        });
    }

    void setFaults(const std::string &faultRequest)
    {
        const auto result = control("/v1/faults", faultRequest);
        cr_assert_eq(result.m_response.m_status, 200, "%s", result.m_response.m_body.c_str());
    }

    platform::AppendResult append(const std::string &body)
    {
        return wait<platform::AppendResult>([&](auto callback) {
            m_log.append("system", body, longTimeout, callback);
        });
    }

    platform::ReadResult read(std::uint64_t from)
    {
        return wait<platform::ReadResult>([&](auto callback) {
            m_log.read("system", from, 100, longTimeout, callback);
        });
    }

    platform::PlatformList list()
    {
        return *wait<platform::ListResult>([&](auto callback) {
                    m_list.fetch(longTimeout, callback);
                }).m_list;
    }

    platform::RunResult run(const std::string &id, fleet::Duration timeout = longTimeout)
    {
        const auto address = list().m_runners.front().m_address;
        return wait<platform::RunResult>([&](auto callback) {
            m_runners.run(address, {fleet::RequestId(id), 1, fleet::AccountId("a"), "preview", "body"}, timeout, callback);
        });
    }
};

}

Test(stand_in, recordsWithAnyBytes_areReadBackInOrder)
{
    Fixture fixture;
    const std::string bytes("\0\xff\n", 3);
    cr_assert_eq(fixture.append("first").m_offset, 0U);
    cr_assert_eq(fixture.append(bytes).m_offset, 1U);
    const auto page = fixture.read(1).m_page;
    cr_assert(page.has_value());
    cr_assert_eq(page->m_endOffset, 2U);
    cr_assert_eq(page->m_records.front().m_body, bytes);
}

Test(stand_in, logDown_appendIsRefusedWithoutEffect)
{
    Fixture fixture;
    fixture.setFaults(R"({"target": "log", "down": true})");
    cr_assert(fixture.append("x").m_kind == platform::AppendKind::NotAppended);
    cr_assert_not(fixture.read(0).m_page.has_value());
    fixture.setFaults(R"({"target": "log"})");
    cr_assert_eq(fixture.read(0).m_page->m_endOffset, 0U);
}

Test(stand_in, answersLost_appendIsUnknownAndTookEffect)
{
    Fixture fixture;
    fixture.setFaults(R"({"target": "log", "loseEvery": 1})");
    cr_assert(fixture.append("x").m_kind == platform::AppendKind::Unknown);
    fixture.setFaults(R"({"target": "log"})");
    cr_assert_eq(fixture.read(0).m_page->m_endOffset, 1U);
}

Test(stand_in, frozenList_showsTheOldState)
{
    Fixture fixture;
    fixture.setFaults(R"({"target": "list", "stale": true})");
    fixture.control("/v1/leaving", R"({"id": "worker-1", "leaving": true})");
    cr_assert_not(fixture.list().m_workers.front().m_leaving);
    fixture.setFaults(R"({"target": "list"})");
    cr_assert(fixture.list().m_workers.front().m_leaving);
}

Test(stand_in, unchangedList_isNotTransferredAgainAndStaysCurrent)
{
    Fixture fixture;
    const auto first = fixture.list();
    const std::uint64_t before = fixture.m_client.byteCount().m_received;
    const auto second = fixture.list();
    cr_assert_lt(fixture.m_client.byteCount().m_received - before, platform::encodeList(first).size());
    cr_assert(second.m_workers == first.m_workers);
    cr_assert_geq(fleet::toMilliseconds(second.m_asOf), fleet::toMilliseconds(first.m_asOf));
    fixture.control("/v1/leaving", R"({"id": "worker-1", "leaving": true})");
    cr_assert(fixture.list().m_workers.front().m_leaving);
}

Test(stand_in, workersOfAList_areInRacksOfTheirZonesAndReport)
{
    Fixture fixture;
    const auto workers = fixture.list().m_workers;
    cr_assert_eq(workers.size(), 2U);
    cr_assert_eq(workers[0].m_info.m_zone.value(), "kochi");
    cr_assert_eq(workers[1].m_info.m_zone.value(), "thrissur");
    const scheduler::WorkerCommand reserve {
        workers[0].m_info.m_id, scheduler::CommandKind::Reserve, {fleet::JobId("j"), 1, 0}, {1000, 1000, 1}, longTimeout, {}};
    const auto reported = wait<platform::CommandResult>([&](auto callback) {
        fixture.m_workers.send(workers[0].m_address, {fleet::InstanceId("i"), {7}, {{reserve, {}}}}, longTimeout, callback);
    });
    cr_assert(reported.m_outcome == platform::CommandOutcome::Reported);
    cr_assert(reported.m_tasks.front().m_phase == scheduler::TaskPhase::Reserved);
    const auto fenced = wait<platform::CommandResult>([&](auto callback) {
        fixture.m_workers.send(workers[0].m_address, {fleet::InstanceId("old"), {6}, {}}, longTimeout, callback);
    });
    cr_assert(fenced.m_outcome == platform::CommandOutcome::Fenced);
}

Test(stand_in, runnerAnswer_isCompleteAndNamesItsRequest)
{
    Fixture fixture;
    const auto result = fixture.run("r-1");
    cr_assert(result.m_outcome == platform::RunOutcome::Done);
    // Digest computed independently: sha256("r-1\npreview\nbody").
    cr_assert(result.m_body.find("c8df2a5dfb787af1bbcc9c45132913ad6029d3d7f710befb1a28ee1fe9d47729") != std::string::npos);
}

Test(stand_in, unresponsiveRunner_outcomeIsUnknown)
{
    Fixture fixture;
    fixture.setFaults(R"({"target": "runner-1", "silent": true})");
    cr_assert(fixture.run("r-1", shortTimeout).m_outcome == platform::RunOutcome::Unknown);
}

Test(stand_in, swappedResponses_areRejected)
{
    Fixture fixture;
    fixture.setFaults(R"({"target": "runner-1", "crossed": true})");
    auto other = std::async(std::launch::async, [&fixture] {
        return fixture.run("r-1").m_outcome;
    });
    cr_assert(fixture.run("r-2").m_outcome == platform::RunOutcome::Unknown);
    cr_assert(other.get() == platform::RunOutcome::Unknown);
}

Test(stand_in, pausedWorker_appliesCommandsAfterThePause)
{
    Fixture fixture;
    fixture.setFaults(R"({"target": "worker-1", "paused": true})");
    const auto worker = fixture.list().m_workers.front().m_address;
    const auto promise = std::make_shared<std::promise<platform::CommandResult>>();
    fixture.m_workers.send(worker, {fleet::InstanceId("i"), {7}, {}}, longTimeout, [promise](platform::CommandResult result) {
        promise->set_value(std::move(result));
    });
    fixture.setFaults(R"({"target": "worker-1"})");
    cr_assert(promise->get_future().get().m_outcome == platform::CommandOutcome::Reported);
}

Test(stand_in, unknownFaultOrTarget_isRefused)
{
    Fixture fixture;
    cr_assert_eq(fixture.control("/v1/faults", R"({"target": "log", "dwon": true})").m_response.m_status, 400);
    cr_assert_eq(fixture.control("/v1/faults", R"({"target": "worker-9"})").m_response.m_status, 404);
}

Test(stand_in_settings, conflictingPorts_areReported)
{
    auto reader = settings::Reader::fromText("zones = ['a']\nlog_port = 7501\n[workers]\ncount = 3\nport_base = 7500\n", "standin.toml");
    std::string message;
    try {
        standin::readStandInSettings(reader);
    } catch (const settings::SettingsError &error) {
        message = error.what();
    }
    cr_assert(message.find("port 7501 is taken by log_port") != std::string::npos, "%s", message.c_str());
}

Test(stand_in_settings, settingsFileOfTheRepository_isValid)
{
    auto reader = settings::Reader::fromFile("files/standin.toml");
    cr_assert_eq(standin::readStandInSettings(reader).m_workers, 12);
}

Test(stand_in, relayToTheLog_isCutByRequest)
{
    Fixture fixture;
    const auto added = fixture.control("/v1/relays", R"({"name": "log-cut", "target": ")" + http::toString(fixture.m_standIn.logAddress()) + "\"}");
    const auto &body = added.m_response.m_body;
    const auto address = http::parseAddress(body.substr(12, body.size() - 14));
    const platform::LogClient relayed(fixture.m_client, address);
    const auto append = [&](fleet::Duration timeout) {
        return wait<platform::AppendResult>([&](auto callback) {
                   relayed.append("system", "x", timeout, callback);
               })
            .m_kind;
    };
    cr_assert(append(longTimeout) == platform::AppendKind::Appended);
    fixture.control("/v1/relay-faults", R"({"name": "log-cut", "cutBackward": true})");
    cr_assert(append(shortTimeout) == platform::AppendKind::Unknown);
    cr_assert_eq(fixture.read(0).m_page->m_endOffset, 2U);
    cr_assert_eq(fixture.control("/v1/relay-faults", R"({"name": "other"})").m_response.m_status, 404);
}
