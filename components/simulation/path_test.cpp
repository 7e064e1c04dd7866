#include "components/simulation/world_fixture_test.hpp"

#include <chrono>

#include <criterion/criterion.h>

using namespace std::chrono_literals;
using namespace simulation;
using namespace simulation::test;

Test(path, jobOfOneTask_submit_isDoneOnceAndShownEverywhere)
{
    WorldFixture fixture;
    const jobs::JobId job = fixture.submit(makeTasks(1), {1000ms});
    cr_assert(fixture.completes(job, 3s));
    cr_assert_eq(fixture.runCount(job), 1);
    // Instances answer from a view of the jobs that may be this old.
    fixture.m_world.run(100ms);
    for (int i = 0; i < fixture.m_world.instanceCount(); ++i) {
        cr_assert(fixture.m_world.stateOf(i, job) == jobs::JobState::Completed);
    }
    fixture.expectNoViolation();
}

Test(path, submission_whileTheHolderIsIdle_beginsWithinFiftyMilliseconds)
{
    WorldFixture fixture;
    const jobs::JobId job = fixture.submit(makeTasks(1), {1000ms});
    const bool begins = fixture.m_world.runUntil(
        [&] {
            return fixture.isRunning(job);
        },
        50ms);
    cr_assert(begins);
}

Test(path, sameJobThroughTwoInstances_submit_runsOnce)
{
    WorldFixture fixture;
    jobs::JobSpec spec;
    spec.m_id.m_value = 0xabc;
    spec.m_queue = fleet::QueueId("q1");
    spec.m_steps = {makeTasks(1)};
    const int first = fixture.m_world.submit(0, spec, {500ms});
    const int second = fixture.m_world.submit(1, spec, {500ms});
    fixture.m_world.run(2s);
    cr_assert(fixture.m_world.wasAccepted(first) && fixture.m_world.wasAccepted(second));
    cr_assert_eq(fixture.runCount(spec.m_id), 1);
}

Test(path, dependentStep_run_beginsAfterTheEarlierOne)
{
    WorldFixture fixture;
    jobs::JobSpec spec;
    spec.m_id.m_value = 0xabd;
    spec.m_queue = fleet::QueueId("q1");
    spec.m_steps = {makeTasks(3), makeTasks(2)};
    spec.m_steps[1].m_dependsOn = {0};
    fixture.m_world.submit(0, spec, {400ms});
    cr_assert(fixture.completes(spec.m_id, 3s));
    cr_assert_eq(fixture.runCount(spec.m_id), 5);
    fixture.expectNoViolation();
}

Test(path, timedJob_run_beginsEachOccurrenceWhenItIsDue)
{
    WorldFixture fixture;
    jobs::JobSpec spec;
    spec.m_id.m_value = 0xabe;
    spec.m_queue = fleet::QueueId("q1");
    spec.m_steps = {makeTasks(1)};
    const fleet::TimePoint now = fleet::TimePoint(fixture.m_world.now().time_since_epoch()) + fleet::Duration(1'700'000'000'000);
    spec.m_schedule = {3, now + 1s, 2s};
    fixture.m_world.submit(0, spec, {300ms});
    fixture.m_world.run(900ms);
    cr_assert_eq(fixture.runCount(spec.m_id), 0);
    fixture.m_world.run(1s);
    cr_assert_eq(fixture.runCount(spec.m_id), 1);
    cr_assert(fixture.completes(spec.m_id, 6s));
    cr_assert_eq(fixture.runCount(spec.m_id), 3);
}

Test(path, runningJob_cancel_isStoppedAndShownAsCancelled)
{
    WorldFixture fixture;
    const jobs::JobId job = fixture.submit(makeTasks(4), {20s});
    fixture.m_world.run(500ms);
    const int call = fixture.m_world.cancel(fixture.nonHolder(), job);
    fixture.m_world.run(1s);
    cr_assert(fixture.m_world.outcome(call).m_reply->m_kind == callers::ReplyKind::Cancelled);
    cr_assert_not(fixture.isRunning(job));
    cr_assert(fixture.m_world.stateOf(fixture.nonHolder(), job) == jobs::JobState::Cancelled);
}

Test(path, alwaysFailingJob_run_failsAfterItsAttempts)
{
    WorldFixture fixture;
    const jobs::JobId job = fixture.submit(makeTasks(1), {200ms, true});
    fixture.m_world.run(6s);
    cr_assert(fixture.m_world.stateOf(0, job) == jobs::JobState::Failed);
    cr_assert_eq(fixture.runCount(job), 3);
}

Test(path, unknownJob_show_isReportedAsUnknown)
{
    WorldFixture fixture;
    const int call = fixture.m_world.show(0, jobs::JobId {0xdead});
    fixture.m_world.run(100ms);
    cr_assert(fixture.m_world.outcome(call).m_reply->m_kind == callers::ReplyKind::NoSuchJob);
}

Test(path, urgentGang_fleetFullOfLowPriorityTasks_beginsWithinTheReclaimBound)
{
    WorldFixture fixture;
    const jobs::JobId patient = fixture.submit(makeTasks(96), {30s}, 2);
    fixture.m_world.run(500ms);
    cr_assert(fixture.isRunning(patient));
    const jobs::JobId urgent = fixture.submit(makeGang(2, 8), {500ms}, 0);
    const bool begins = fixture.m_world.runUntil(
        [&] {
            return fixture.isRunning(urgent);
        },
        2700ms);
    cr_assert(begins);
    cr_assert(fixture.completes(urgent, 2s));
}
