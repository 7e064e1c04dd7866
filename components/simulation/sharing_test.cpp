#include "components/simulation/world_fixture_test.hpp"

#include <chrono>
#include <set>

#include <criterion/criterion.h>

using namespace std::chrono_literals;
using namespace simulation;
using namespace simulation::test;

namespace
{

jobs::StepSpec servingOn(std::uint16_t workers)
{
    jobs::StepSpec step = tasksOf(workers, 0);
    step.m_isLongRunning = true;
    step.m_tailLatencyObjective = 80ms;
    step.m_maxPerRunner = 1;
    return step;
}

jobs::StepSpec fillingOf(std::uint16_t tasks)
{
    jobs::StepSpec step = tasksOf(tasks, 0);
    step.m_usesIdleProcessor = true;
    return step;
}

/// Workers that run something of the job now.
std::set<fleet::WorkerId> workersOf(const World &world, jobs::JobId job)
{
    std::set<fleet::WorkerId> workers;
    for (const RunHistory &run : world.m_fleet.m_history) {
        if (run.m_run.m_task.m_step.m_job == job && run.m_to == fleet::BootTime::max()) {
            workers.insert(run.m_on.m_worker);
        }
    }
    return workers;
}

}

Test(filling, workersThatServe_areLeftOut)
{
    WorldFixture fixture;
    const jobs::JobId serving = fixture.submit(servingOn(8), {1s});
    fixture.m_world.run(500ms);
    const jobs::JobId filling = fixture.submit(fillingOf(20), {5s}, 2);
    fixture.m_world.run(1s);
    const std::set<fleet::WorkerId> busy = workersOf(fixture.m_world, serving);
    cr_assert_eq(busy.size(), 8U);
    for (const fleet::WorkerId &worker : workersOf(fixture.m_world, filling)) {
        cr_assert_not(busy.contains(worker));
    }
    cr_assert(fixture.completes(filling, 30s));
}

Test(filling, serviceComesLater_isStoppedBesideIt)
{
    WorldFixture fixture;
    const jobs::JobId filling = fixture.submit(fillingOf(60), {60s}, 2);
    fixture.m_world.run(500ms);
    const jobs::JobId serving = fixture.submit(servingOn(6), {1s});
    fixture.m_world.run(1500ms);
    const std::set<fleet::WorkerId> busy = workersOf(fixture.m_world, serving);
    cr_assert_eq(busy.size(), 6U);
    const std::set<fleet::WorkerId> others = workersOf(fixture.m_world, filling);
    cr_assert_not(others.empty());
    for (const fleet::WorkerId &worker : others) {
        cr_assert_not(busy.contains(worker));
    }
}
