#include "components/simulation/world_fixture_test.hpp"

#include <algorithm>
#include <chrono>
#include <set>

#include <criterion/criterion.h>

using namespace std::chrono_literals;
using namespace simulation;
using namespace simulation::test;

namespace
{

jobs::StepSpec makeServingStep(std::uint16_t workers)
{
    jobs::StepSpec step = makeTasks(workers, 0);
    step.m_isLongRunning = true;
    step.m_tailLatencyObjective = 80ms;
    step.m_maxPerRunner = 1;
    return step;
}

jobs::StepSpec makeBestEffortStep(std::uint16_t tasks)
{
    jobs::StepSpec step = makeTasks(tasks, 0);
    step.m_usesIdleProcessor = true;
    return step;
}

/// Returns the workers that run tasks of the job now.
std::set<fleet::WorkerId> workersOf(const World &world, jobs::JobId job)
{
    std::set<fleet::WorkerId> workers;
    for (const RunRecord &run : world.m_fleet.m_history) {
        if (run.m_run.m_task.m_step.m_job == job && run.m_endedAt == fleet::BootTime::max()) {
            workers.insert(run.m_incarnation.m_worker);
        }
    }
    return workers;
}

}

Test(bestEffort, servingWorkers_runNoBestEffortTasks)
{
    WorldFixture fixture;
    const jobs::JobId serving = fixture.submit(makeServingStep(8), {1s});
    fixture.m_world.run(500ms);
    const jobs::JobId bestEffort = fixture.submit(makeBestEffortStep(20), {5s}, 2);
    fixture.m_world.run(1s);
    const std::set<fleet::WorkerId> busy = workersOf(fixture.m_world, serving);
    cr_assert_eq(busy.size(), 8U);
    for (const fleet::WorkerId &worker : workersOf(fixture.m_world, bestEffort)) {
        cr_assert_not(busy.contains(worker));
    }
    cr_assert(fixture.completes(bestEffort, 30s));
}

Test(bestEffort, serviceStartsLater_bestEffortTasksOnItsWorkersAreStopped)
{
    WorldFixture fixture;
    const jobs::JobId bestEffort = fixture.submit(makeBestEffortStep(60), {60s}, 2);
    fixture.m_world.run(500ms);
    const jobs::JobId serving = fixture.submit(makeServingStep(6), {1s});
    fixture.m_world.run(1500ms);
    const std::set<fleet::WorkerId> busy = workersOf(fixture.m_world, serving);
    cr_assert_eq(busy.size(), 6U);
    const std::set<fleet::WorkerId> others = workersOf(fixture.m_world, bestEffort);
    cr_assert_not(others.empty());
    for (const fleet::WorkerId &worker : others) {
        cr_assert_not(busy.contains(worker));
    }
}

/// Guards against best-effort tasks that harm the serving ones beside them, now that they may run there.
Test(bestEffort, servingTasksMissTheirTargetBesideIt_isStoppedAndKeptAwayForAWhile)
{
    WorldFixture fixture;
    fixture.m_world.m_fleet.m_tailAlone = 40;
    fixture.m_world.m_fleet.m_tailBesideBestEffort = 200;
    fixture.submit(makeServingStep(12), {1s});
    fixture.m_world.run(1s);
    const jobs::JobId bestEffort = fixture.submit(makeBestEffortStep(1), {60s}, 2);
    int beside = 0;
    int longestBeside = 0;
    for (int i = 0; i < 300; ++i) {
        fixture.m_world.run(100ms);
        beside = workersOf(fixture.m_world, bestEffort).empty() ? 0 : beside + 1;
        longestBeside = std::max(longestBeside, beside);
    }
    cr_assert_gt(fixture.runCount(bestEffort), 0);
    // A serving task counts as harmed after 4 s on end over its target.
    cr_assert_lt(longestBeside, 40);
    cr_assert_leq(fixture.runCount(bestEffort), 20);
}

Test(bestEffort, servingTasksKeepTheirTargetBesideIt_isDone)
{
    WorldFixture fixture;
    fixture.m_world.m_fleet.m_tailAlone = 40;
    fixture.m_world.m_fleet.m_tailBesideBestEffort = 60;
    fixture.submit(makeServingStep(12), {1s});
    fixture.m_world.run(1s);
    const jobs::JobId bestEffort = fixture.submit(makeBestEffortStep(3), {3s}, 2);
    cr_assert(fixture.completes(bestEffort, 15s));
    cr_assert_eq(fixture.runCount(bestEffort), 3);
}
