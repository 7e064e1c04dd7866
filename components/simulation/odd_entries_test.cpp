#include "components/simulation/world_fixture_test.hpp"

#include <chrono>

#include <criterion/criterion.h>

using namespace std::chrono_literals;
using namespace simulation;
using namespace simulation::test;

namespace
{

/// A successor reads entries that do not say what the workers' clocks show.
void replaceHolderAndHideClocks(WorldFixture &fixture)
{
    for (const auto &[id, worker] : fixture.m_world.m_fleet.m_workers) {
        fixture.m_world.writeEntry({id, worker.m_registration});
    }
    fixture.m_world.kill(fixture.m_world.holder());
    cr_assert(fixture.waitForHolder(5s));
    fixture.m_world.run(1s);
}

}

Test(worker, listedWithoutItsClock_getsRuns)
{
    WorldFixture fixture;
    replaceHolderAndHideClocks(fixture);
    const jobs::JobId job = fixture.submit(makeTasks(8), {1s});
    cr_assert(fixture.completes(job, 5s));
    cr_assert_eq(fixture.runCount(job), 8);
    fixture.expectNoViolation();
}

Test(worker, listedWithoutItsClockAndSilent_itsRunsBeginElsewhere)
{
    WorldFixture fixture;
    replaceHolderAndHideClocks(fixture);
    for (const fleet::WorkerId &worker : fixture.m_world.workers()) {
        if (fixture.m_world.m_fleet.m_workers.at(worker).m_registration.m_zone != fleet::ZoneId("z0")) {
            fixture.m_world.m_faults.m_unreachableWorkers.insert(worker);
        }
    }
    const jobs::JobId job = fixture.submit(makeTasks(24), {500ms});
    cr_assert(fixture.completes(job, 12s));
    cr_assert_eq(fixture.runCount(job), 24);
    fixture.expectNoViolation();
}
