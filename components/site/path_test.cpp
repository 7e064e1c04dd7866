#include "components/api/error.hpp"
#include "components/instance/core.hpp"
#include "components/site/site_fixture_test.hpp"

#include <algorithm>

#include <criterion/criterion.h>

namespace
{

using namespace std::chrono_literals;

constexpr unsigned seeds = 5;

const std::string gang = R"({"account":"swaralaya","kind":"cleanup","declaredRunTimeMs":5000,"shape":{"tasks":8,
    "perTask":{"milliCores":2000,"memoryMb":4000,"accelerators":1},"adjacency":"same-rack"},"id":)";

const std::string guarantee = R"("guarantees":[{"shape":{"tasks":8,"perTask":{"milliCores":2000,"memoryMb":4000,"accelerators":1},
    "adjacency":"same-rack"},"count":1,"zones":["kochi","thrissur"]}])";

/// A site whose instances hold the scheduling duties of their zones and whose configuration has two accounts.
struct PathFixture
{
    explicit PathFixture(unsigned seed)
        : m_site(seed)
    {
        cr_assert(m_site.runUntil(
            [this] {
                return allHoldDuty();
            },
            60s));
        cr_assert(isAccepted(m_site.call(0, "PUT", "/v1/accounts/swaralaya", "{" + m_site.madeFrom() + "," + guarantee + "}")));
        cr_assert(isAccepted(m_site.call(0, "PUT", "/v1/accounts/agencies", "{" + m_site.madeFrom() + R"(,"guarantees":[]})")));
        m_site.run(2s);
    }

    bool allHoldDuty() const
    {
        return std::all_of(m_site.m_instances.begin(), m_site.m_instances.end(), [](const site::SiteInstance &instance) {
            return instance.m_control->core().m_duty.m_role == duty::Role::Holding;
        });
    }

    static bool isAccepted(const std::optional<api::Reply> &reply)
    {
        return reply && std::holds_alternative<api::ChangeAccepted>(*reply);
    }

    /// True if the instance shows the job as done. An instance sees a job only after it has read the log.
    bool isDone(std::size_t index, const std::string &id)
    {
        const auto reply = m_site.call(index, "GET", "/v1/jobs/" + id);
        const auto *job = reply ? std::get_if<api::JobView>(&*reply) : nullptr;
        return job && job->m_outcome == scheduler::JobOutcome::Done;
    }

    bool runsUntilDone(const std::string &id)
    {
        return m_site.runUntil(
            [&] {
                return isDone(1, id);
            },
            60s);
    }

    std::string issueId(std::size_t index)
    {
        const auto reply = m_site.call(index, "POST", "/v1/request-ids");
        cr_assert(reply && std::holds_alternative<api::RequestIds>(*reply));
        return std::get<api::RequestIds>(*reply).m_ids.at(0).value();
    }

    std::optional<api::Reply> sendMatch(std::size_t index, const std::string &id, int attempt)
    {
        return m_site.call(index,
                           "POST",
                           "/v1/requests",
                           R"({"id":")" + id + R"(","attempt":)" + std::to_string(attempt)
                               + R"(,"account":"agencies","kind":"slot-match","timeoutMs":5000,"body":"booth 7"})");
    }

    site::Site m_site;
};

void forEachSeed(const std::function<void(PathFixture &)> &check)
{
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        PathFixture fixture(seed);
        check(fixture);
    }
}

}

Test(path, exceptionWithoutReason_isRefusedAndWithOneIsInForceEverywhere)
{
    forEachSeed([](PathFixture &f) {
        const std::string body = "{" + f.m_site.madeFrom() + R"(,"from":0,"until":9999999999999,"account":"agencies","weight":2)";
        cr_assert_throw(f.m_site.call(0, "PUT", "/v1/exceptions/festival", body + "}"), api::Error);
        cr_assert(PathFixture::isAccepted(f.m_site.call(0, "PUT", "/v1/exceptions/festival", body + R"(,"reason":"festival week"})")));
        f.m_site.run(2s);
        for (std::size_t index = 0; index < f.m_site.m_instances.size(); ++index) {
            cr_assert_eq(f.m_site.configurationVersion(index), 3);
        }
    });
}

Test(path, changeFromAnOldVersion_isRefusedAsStale)
{
    forEachSeed([](PathFixture &f) {
        const auto reply = f.m_site.call(1, "PUT", "/v1/accounts/late", R"({"operator":"meera","madeFrom":0,"guarantees":[]})");
        cr_assert(reply && std::get<api::Refusal>(*reply).m_kind == api::ErrorKind::StaleVersion);
    });
}

Test(path, gangOfEight_isStartedWholeInOneRackAndDone)
{
    forEachSeed([](PathFixture &f) {
        const auto accepted = f.m_site.call(2, "POST", "/v1/jobs", gang + R"("g1"})");
        cr_assert(accepted && std::holds_alternative<api::JobAccepted>(*accepted));
        cr_assert(f.runsUntilDone("g1"));
        const std::string zone = std::get<api::JobAccepted>(*accepted).m_zone.value();
        cr_assert_eq(f.m_site.startsIn(zone).size(), 8);
        const auto repeated = f.m_site.call(0, "POST", "/v1/jobs", gang + R"("g1"})");
        cr_assert(repeated && std::holds_alternative<api::JobAccepted>(*repeated));
        f.m_site.run(20s);
        cr_assert_eq(f.m_site.startsIn(zone).size(), 8);
    });
}

Test(path, slotMatchSentThroughEveryInstance_runsOnceWithTheSameAnswer)
{
    forEachSeed([](PathFixture &f) {
        const std::string id = f.issueId(0);
        for (std::size_t index = 0; index < f.m_site.m_instances.size(); ++index) {
            const auto reply = f.sendMatch(index, id, static_cast<int>(index) + 1);
            cr_assert(reply && std::holds_alternative<api::RequestView>(*reply));
            cr_assert(std::get<api::RequestView>(*reply).m_runState == api::RunState::Done);
            cr_assert(std::get<api::RequestView>(*reply).m_body.find("booth 7") != std::string::npos);
        }
        cr_assert_eq(f.m_site.received(id), 1);
    });
}

Test(path, issuerGone_firstAttemptDidNotRunAndLaterOnesAreUnknown)
{
    forEachSeed([](PathFixture &f) {
        const std::string fresh = f.issueId(0);
        const std::string used = f.issueId(0);
        cr_assert(f.sendMatch(0, used, 1).has_value());
        f.m_site.kill(0);
        const auto first = f.sendMatch(1, fresh, 1);
        cr_assert(first && api::traitsOf(std::get<api::Refusal>(*first).m_kind).m_runState == api::RunState::DidNotRun);
        const auto later = f.sendMatch(1, used, 2);
        cr_assert(later && std::get<api::Refusal>(*later).m_kind == api::ErrorKind::OutcomeUnknown);
        cr_assert_eq(f.m_site.received(fresh), 0);
        cr_assert_eq(f.m_site.received(used), 1);
    });
}

Test(path, zoneOut_nothingStartsThereUntilItIsBack)
{
    forEachSeed([](PathFixture &f) {
        cr_assert(PathFixture::isAccepted(f.m_site.call(1, "POST", "/v1/zones/kochi/out", "{" + f.m_site.madeFrom() + R"(,"reason":"power work"})")));
        f.m_site.run(3s);
        const std::size_t before = f.m_site.startsIn("kochi").size();
        cr_assert(f.m_site.call(1, "POST", "/v1/jobs", gang + R"("g2","zone":"kochi"})").has_value());
        f.m_site.run(20s);
        cr_assert_eq(f.m_site.startsIn("kochi").size(), before);
        cr_assert(PathFixture::isAccepted(f.m_site.call(1, "POST", "/v1/zones/kochi/back", "{" + f.m_site.madeFrom() + "}")));
        cr_assert(f.runsUntilDone("g2"));
    });
}

Test(path, logDown_jobsAreRefusedAsNotRunAndZoneOutIsProvisional)
{
    forEachSeed([](PathFixture &f) {
        f.m_site.m_logDown = true;
        f.m_site.run(2s);
        const auto refused = f.m_site.call(1, "POST", "/v1/jobs", gang + R"("g3"})");
        cr_assert(refused && std::get<api::Refusal>(*refused).m_kind == api::ErrorKind::LogUnavailable);
        const auto out = f.m_site.call(1, "POST", "/v1/zones/kochi/out", "{" + f.m_site.madeFrom() + R"(,"reason":"fire"})");
        cr_assert(out && std::holds_alternative<api::ZoneOutProvisional>(*out));
        f.m_site.run(3s);
        const auto status = f.m_site.call(0, "GET", "/v1/status");
        cr_assert(status && !std::get<api::StatusView>(*status).m_zones.at(0).m_startsAllowed);
        f.m_site.m_logDown = false;
        f.m_site.run(10s);
        cr_assert_eq(f.m_site.configurationVersion(0), 3);
    });
}

Test(path, holderKilledWhileAGangRuns_itsNextIncarnationFinishesTheSameAttempt)
{
    forEachSeed([](PathFixture &f) {
        cr_assert(f.m_site.call(1, "POST", "/v1/jobs", gang + R"("g4","zone":"kochi"})").has_value());
        cr_assert(f.m_site.runUntil(
            [&] {
                return f.m_site.startsIn("kochi").size() == 8;
            },
            20s));
        f.m_site.kill(0);
        f.m_site.run(1s);
        f.m_site.restart(0);
        cr_assert(f.runsUntilDone("g4"));
        cr_assert_eq(f.m_site.startsIn("kochi").size(), 8);
    });
}

Test(path, plannedStop_handsItsIdsOverAndARepeatedSendingGetsTheSameAnswer)
{
    forEachSeed([](PathFixture &f) {
        const std::string id = f.issueId(0);
        const auto first = f.sendMatch(0, id, 1);
        cr_assert(f.m_site.stop(0, 60s));
        f.m_site.run(2s);
        const auto again = f.sendMatch(2, id, 2);
        cr_assert(first && again && std::holds_alternative<api::RequestView>(*again));
        cr_assert(std::get<api::RequestView>(*again).m_body == std::get<api::RequestView>(*first).m_body);
        cr_assert_eq(f.m_site.received(id), 1);
    });
}

Test(path, everyInstanceReplacedInTurn_keepsJobsAndConfiguration)
{
    forEachSeed([](PathFixture &f) {
        cr_assert(f.m_site.call(1, "POST", "/v1/jobs", gang + R"("g5","zone":"kochi"})").has_value());
        for (std::size_t index = 0; index < f.m_site.m_instances.size(); ++index) {
            cr_assert(f.m_site.stop(index, 60s));
            f.m_site.restart(index);
            f.m_site.run(5s);
        }
        cr_assert(f.runsUntilDone("g5"));
        cr_assert_eq(f.m_site.startsIn("kochi").size(), 8);
        cr_assert_eq(f.m_site.configurationVersion(0), 2);
    });
}

Test(path, recordsExpired_newIncarnationStartsFromSnapshots)
{
    PathFixture f(1);
    f.m_site.m_log.m_retention = 50min;
    cr_assert(f.m_site.call(1, "POST", "/v1/jobs", gang + R"("g6"})").has_value());
    f.m_site.run(2h);
    f.m_site.kill(0);
    f.m_site.restart(0);
    f.m_site.run(5s);
    cr_assert_eq(f.m_site.configurationVersion(0), 2);
    cr_assert(f.isDone(0, "g6"));
}

Test(path, logDown_newIncarnationTakesItsStateFromAPeer)
{
    forEachSeed([](PathFixture &f) {
        f.m_site.m_logDown = true;
        f.m_site.kill(0);
        f.m_site.restart(0);
        f.m_site.run(10s);
        cr_assert_eq(f.m_site.configurationVersion(0), 2);
    });
}
