#include "components/simulation/world_fixture_test.hpp"

#include <chrono>

#include <criterion/criterion.h>

using namespace std::chrono_literals;
using namespace simulation;
using namespace simulation::test;

namespace
{

constexpr fleet::Duration statusRetention = 120s;
/// Ends are forgotten within this time after the retention.
constexpr fleet::Duration forgettingTakes = 25s;

/// A job that has completed, and clocks that differ by more than the retention from those of the other instances.
struct EndedJobFixture : WorldFixture
{
    explicit EndedJobFixture(fleet::Duration clockOffset)
    {
        for (int i = 0; i < m_world.instanceCount(); i += 2) {
            m_world.m_faults.m_clockOffsets[i] = clockOffset;
        }
        m_job = submit(makeTasks(1), {300ms});
        cr_assert(completes(m_job, 3s));
    }

    /// Returns the number of instances that answer with the final state of the job, or that it is not known.
    int countAnswers(callers::ReplyKind kind)
    {
        int answers = 0;
        for (int i = 0; i < m_world.instanceCount(); ++i) {
            const int call = m_world.show(i, m_job);
            m_world.run(200ms);
            const auto &reply = m_world.outcome(call).m_reply;
            answers += reply && reply->m_kind == kind && (kind != callers::ReplyKind::State || reply->m_state == jobs::JobState::Completed) ? 1 : 0;
        }
        return answers;
    }

    void submitAgain(int instance)
    {
        jobs::JobSpec spec;
        spec.m_id = m_job;
        spec.m_queue = fleet::QueueId("q1");
        spec.m_payload = "payload";
        spec.m_steps = {makeTasks(1)};
        m_world.submit(instance, spec, {300ms});
    }

    jobs::JobId m_job;
};

}

Test(forgetting, clocksDifferByMoreThanTheRetention_endedJobIsKnownForTheRetention)
{
    for (const fleet::Duration offset : {200s, -200s}) {
        EndedJobFixture fixture(offset);
        for (fleet::Duration passed {0}; passed < statusRetention; passed += 10s) {
            cr_assert_eq(fixture.countAnswers(callers::ReplyKind::State),
                         fixture.m_world.instanceCount(),
                         "clocks ahead by %d ms, after %d ms",
                         static_cast<int>(offset.count()),
                         static_cast<int>(passed.count()));
            fixture.m_world.run(8s);
        }
    }
}

Test(forgetting, clocksDifferByMoreThanTheRetention_submissionRepeatedWithinItRunsOnce)
{
    for (const fleet::Duration offset : {200s, -200s}) {
        EndedJobFixture fixture(offset);
        for (int i = 0; i < fixture.m_world.instanceCount(); ++i) {
            fixture.m_world.run(7s);
            const int holder = fixture.m_world.holder();
            fixture.m_world.kill(holder);
            cr_assert(fixture.waitForHolder(10s));
            fixture.m_world.restart(holder);
            fixture.m_world.run(2s);
            fixture.submitAgain(i);
        }
        fixture.m_world.run(10s);
        cr_assert_eq(fixture.runCount(fixture.m_job), 1, "clocks ahead by %d ms", static_cast<int>(offset.count()));
        fixture.expectNoViolation();
    }
}

Test(forgetting, clocksStepForward_endedJobStaysKnown)
{
    EndedJobFixture fixture(0s);
    for (int i = 0; i < fixture.m_world.instanceCount(); ++i) {
        fixture.m_world.m_faults.m_clockOffsets[i] = 1h;
    }
    fixture.m_world.run(20s);
    cr_assert_eq(fixture.countAnswers(callers::ReplyKind::State), fixture.m_world.instanceCount());
}

Test(forgetting, clocksDifferByMoreThanTheRetention_endedJobIsForgottenAfterIt)
{
    for (const fleet::Duration offset : {0s, 200s, -200s}) {
        EndedJobFixture fixture(offset);
        fixture.m_world.run(statusRetention + forgettingTakes);
        cr_assert_eq(
            fixture.countAnswers(callers::ReplyKind::NoSuchJob), fixture.m_world.instanceCount(), "clocks ahead by %d ms", static_cast<int>(offset.count()));
    }
}

/// An instance that starts doesn't know when the jobs of the snapshot ended, and keeps them for the whole retention.
Test(forgetting, allInstancesRestartedAfterTheEnd_endedJobIsKnownForTheRetentionAndForgottenAfterIt)
{
    EndedJobFixture fixture(0s);
    fixture.m_world.run(100s);
    for (int i = 0; i < fixture.m_world.instanceCount(); ++i) {
        fixture.m_world.kill(i);
    }
    fixture.m_world.run(1s);
    for (int i = 0; i < fixture.m_world.instanceCount(); ++i) {
        fixture.m_world.restart(i);
    }
    fixture.m_world.run(15s);
    cr_assert_eq(fixture.countAnswers(callers::ReplyKind::State), fixture.m_world.instanceCount());
    fixture.m_world.run(statusRetention + forgettingTakes);
    cr_assert_eq(fixture.countAnswers(callers::ReplyKind::NoSuchJob), fixture.m_world.instanceCount());
}
