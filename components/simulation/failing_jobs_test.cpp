#include "components/simulation/world_fixture_test.hpp"

#include <algorithm>
#include <chrono>

#include <criterion/criterion.h>

using namespace std::chrono_literals;
using namespace simulation;
using namespace simulation::test;

namespace
{

jobs::StepSpec makeLasting(std::uint16_t count)
{
    jobs::StepSpec step = makeTasks(count);
    step.m_isLongRunning = true;
    return step;
}

/// Submits a job every half second and expects that each is done soon.
void expectPromptJobs(WorldFixture &fixture, int count)
{
    for (int i = 0; i < count; ++i) {
        cr_assert(fixture.completes(fixture.submit(makeTasks(2), {300ms}), 1500ms), "job %d is not done in time", i);
        fixture.m_world.run(500ms);
    }
}

/// Returns the longest time between an end of a run of the task and its next start.
fleet::Duration longestAbsence(const WorldFixture &fixture, const jobs::TaskId &task)
{
    fleet::Duration longest {0};
    fleet::BootTime endedAt = fleet::BootTime::max();
    for (const RunRecord &run : fixture.m_world.m_fleet.m_history) {
        if (run.m_run.m_task == task) {
            longest = std::max(longest, endedAt == fleet::BootTime::max() ? fleet::Duration(0) : run.m_startedAt - endedAt);
            endedAt = run.m_endedAt;
        }
    }
    return endedAt == fleet::BootTime::max() ? longest : std::max(longest, fixture.m_world.now() - endedAt);
}

}

Test(failingJob, lastingTasksFailAtTheirStart_otherJobsGetTheirWorkers)
{
    WorldFixture fixture;
    const jobs::JobId failing = fixture.submit(makeLasting(4), {50ms, true}, 2);
    expectPromptJobs(fixture, 20);
    for (std::uint16_t index = 0; index < 4; ++index) {
        cr_assert_leq(longestAbsence(fixture, {{failing, 0, 0}, index}).count(), 3000);
    }
}

Test(failingJob, manyLastingTasksFailAtTheirStart_otherJobsGetTheirWorkers)
{
    WorldFixture fixture;
    fixture.submit(makeLasting(40), {50ms, true}, 2);
    expectPromptJobs(fixture, 10);
}

Test(failingJob, manyTasksFailLate_otherJobsGetTheirWorkers)
{
    WorldFixture fixture;
    fixture.submit(makeLasting(40), {400ms, true}, 2);
    expectPromptJobs(fixture, 10);
}

Test(failingJob, lastingTasksFailAtTheirStart_areNotStartedWithoutPause)
{
    WorldFixture fixture;
    const jobs::JobId failing = fixture.submit(makeLasting(4), {50ms, true}, 2);
    fixture.m_world.run(10s);
    cr_assert_leq(fixture.runCount(failing), 4 * 20);
}

/// The job of which all tasks fail must not hide the faulty workers.
Test(failingJob, someWorkersAreFaultyToo_otherJobsAvoidThese)
{
    WorldFixture fixture;
    int faulty = 0;
    for (auto &[id, worker] : fixture.m_world.m_fleet.m_workers) {
        worker.m_failsEverything = faulty++ % 4 == 0;
    }
    const jobs::JobId failing = fixture.submit(makeLasting(4), {50ms, true}, 2);
    fixture.m_world.run(3s);
    const std::size_t before = fixture.m_world.m_fleet.m_history.size();
    for (int i = 0; i < 20; ++i) {
        cr_assert(fixture.completes(fixture.submit(makeTasks(2), {300ms}), 6s));
    }
    const auto onFaulty = std::count_if(
        fixture.m_world.m_fleet.m_history.begin() + static_cast<std::ptrdiff_t>(before), fixture.m_world.m_fleet.m_history.end(), [&](const RunRecord &run) {
            return run.m_run.m_task.m_step.m_job != failing && fixture.m_world.m_fleet.m_workers.at(run.m_incarnation.m_worker).m_failsEverything;
        });
    cr_assert_leq(onFaulty, 10);
}
