#include "components/simulation/world_fixture_test.hpp"

#include <chrono>

#include <criterion/criterion.h>

using namespace std::chrono_literals;
using namespace simulation;
using namespace simulation::test;

Test(unexpectedError, onTheNetworkThread_isLoggedAndTheHolderStays)
{
    WorldFixture fixture;
    const int holder = fixture.m_world.holder();
    fixture.m_world.failTraffic(holder);
    fixture.m_world.run(1s);
    cr_assert_eq(fixture.m_world.m_logCounts["node/unexpected-error"], 1);
    cr_assert(fixture.m_world.m_lastLogLines["node/unexpected-error"].ends_with("where=traffic reason=\"no such member\""),
              "%s",
              fixture.m_world.m_lastLogLines["node/unexpected-error"].c_str());
    cr_assert_eq(fixture.m_world.holder(), holder);
    cr_assert_eq(fixture.m_world.m_logCounts["duty/hold"], 1);
}

/// An error while an instance sent what is due ended its process, and with it the calls that it served.
Test(unexpectedError, whileAnAppendIsSent_theAppendIsRepeated)
{
    WorldFixture fixture;
    fixture.m_world.m_faults.m_throwingAppends = 3;
    const jobs::JobId job = fixture.submit(makeTasks(4), {500ms});
    cr_assert(fixture.completes(job, 5s));
    cr_assert_eq(fixture.m_world.m_logCounts["node/unexpected-error"], 3);
    cr_assert_eq(fixture.runCount(job), 4);
    fixture.expectNoViolation();
}

/// A read that ended without its event would be the last one.
Test(unexpectedError, whileReadsAreSent_theReadsAreRepeated)
{
    WorldFixture fixture;
    fixture.m_world.m_faults.m_throwingReads = 60;
    fixture.m_world.run(5s);
    cr_assert_eq(fixture.m_world.m_faults.m_throwingReads, 0);
    cr_assert_eq(fixture.m_world.m_logCounts["node/unexpected-error"], 60);
    fixture.m_world.setZoneOut(fixture.zoneWithoutHolder(), true);
    const jobs::JobId job = fixture.submit(makeTasks(4), {500ms});
    cr_assert(fixture.completes(job, 5s));
    fixture.m_world.run(300ms);
    for (int i = 0; i < fixture.m_world.instanceCount(); ++i) {
        cr_assert(fixture.m_world.isReady(i));
        cr_assert(fixture.m_world.stateOf(i, job) == jobs::JobState::Completed);
    }
    fixture.expectNoViolation();
}

Test(unexpectedError, whileDatagramsAreSent_jobsAreServed)
{
    WorldFixture fixture;
    fixture.m_world.m_faults.m_throwingDatagrams = 2;
    const jobs::JobId job = fixture.submit(makeTasks(4), {500ms});
    cr_assert(fixture.completes(job, 15s));
    cr_assert_eq(fixture.runCount(job), 4);
    fixture.expectNoViolation();
}

/// The caller waited until its own limit and never learned the outcome.
Test(unexpectedError, whileACallIsAnswered_itsCallerIsToldThatTheOutcomeIsUnknown)
{
    WorldFixture fixture;
    const jobs::JobId job = fixture.submit(makeTasks(1), {10s});
    fixture.m_world.run(1s);
    fixture.m_world.m_callerKey = "wrong";
    fixture.m_world.m_faults.m_throwingReplies = 1;
    const int call = fixture.m_world.show(fixture.nonHolder(), job);
    fixture.m_world.run(100ms);
    cr_assert(fixture.m_world.outcome(call).m_reply.has_value());
    cr_assert(fixture.m_world.outcome(call).m_reply->m_kind == callers::ReplyKind::Unknown);
}
