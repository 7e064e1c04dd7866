#include "components/simulation/world_fixture_test.hpp"

#include <chrono>

#include <criterion/criterion.h>

using namespace std::chrono_literals;
using namespace simulation;
using namespace simulation::test;

namespace
{

constexpr std::uint16_t taskCount = 7000;

/// Submits the step with tasks of which all fit at once. Each must run once, and the next job as well.
void expectAllTasksRun(jobs::StepSpec step)
{
    WorldSettings settings;
    settings.m_workerCapacity = {1'000'000, 1'000'000, 8};
    WorldFixture fixture(settings);
    step.m_perTask = {500, 256, 0};
    const jobs::JobId large = fixture.submit(step, {900ms});
    cr_assert(fixture.completes(large, 10s), "the launches are not stored");
    cr_assert_eq(fixture.runCount(large), taskCount);
    cr_assert(fixture.completes(fixture.submit(makeTasks(1), {200ms}), 2s));
    fixture.expectNoViolation();
}

}

Test(recordSize, launchesOfOneCycleExceedARecord_allTasksRun)
{
    expectAllTasksRun(makeTasks(taskCount, 0));
}

/// Tasks that need no others are launched in several cycles, the members of a gang in one.
Test(recordSize, launchesOfAWideGangExceedARecord_allTasksRun)
{
    expectAllTasksRun(makeGang(taskCount, 0));
}

Test(recordSize, submissionExceedsARecord_isRefusedAndOthersAreAccepted)
{
    WorldFixture fixture;
    const int instance = fixture.nonHolder();
    jobs::JobSpec spec;
    spec.m_id.m_value = 1;
    spec.m_queue = fleet::QueueId("q1");
    spec.m_steps.assign(5000, makeTasks(1));
    const int call = fixture.m_world.submit(instance, spec, {200ms});
    jobs::JobId ordinary;
    const int next = fixture.submitThrough(instance, makeTasks(1), {200ms}, 1, ordinary);
    fixture.m_world.run(2s);
    cr_assert(fixture.m_world.outcome(call).m_reply.has_value());
    cr_assert(fixture.m_world.outcome(call).m_reply->m_kind == callers::ReplyKind::Malformed);
    cr_assert_not(fixture.m_world.outcome(call).m_reply->m_reason.empty());
    cr_assert(fixture.m_world.wasAccepted(next));
    cr_assert(fixture.completes(ordinary, 2s));
}
