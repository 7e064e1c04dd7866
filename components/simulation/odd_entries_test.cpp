#include "components/simulation/world_fixture_test.hpp"

#include <chrono>
#include <string>

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

/// Its entry names no worker until it writes the next one: nothing new starts there, and its runs are polled on.
Test(worker, itsEntryReplacedByAnOddOne_itsRunsGoOnAndItIsUsedAgain)
{
    WorldFixture fixture;
    const jobs::JobId job = fixture.submit(makeTasks(96), {4s});
    fixture.m_world.run(500ms);
    for (const fleet::WorkerId &worker : fixture.m_world.workers()) {
        fixture.m_world.writeEntry({worker, std::nullopt, "bytes"});
    }
    fixture.m_world.run(1s);
    const jobs::JobId other = fixture.submit(makeTasks(1), {100ms});
    fixture.m_world.run(1s);
    cr_assert_eq(fixture.runCount(other), 0);
    for (const auto &[id, worker] : fixture.m_world.m_fleet.m_workers) {
        fixture.m_world.writeEntry({id, worker.m_registration});
    }
    cr_assert(fixture.completes(job, 5s));
    cr_assert(fixture.completes(other, 2s));
    cr_assert_eq(fixture.runCount(job), 96);
    fixture.expectNoViolation();
}

Test(workerList, oddEntriesWrittenAgain_areLoggedOnce)
{
    WorldFixture fixture;
    for (int i = 0; i < 40; ++i) {
        fixture.m_world.writeEntry({fleet::WorkerId("odd"), std::nullopt, "bytes"});
        fixture.m_world.run(600ms);
    }
    cr_assert_eq(fixture.m_world.m_logCounts["worker-list/entry-refused"], 1);
    cr_assert(fixture.m_world.m_lastLogLines["worker-list/entry-refused"].ends_with("key=odd why=bytes"));
    for (int i = 0; i < 3000; ++i) {
        fixture.m_world.writeEntry({fleet::WorkerId("odd-" + std::to_string(i)), std::nullopt, "bytes"});
    }
    fixture.m_world.run(2s);
    cr_assert_eq(fixture.m_world.m_logCounts["worker-list/entry-refused"], 11);
    cr_assert(fixture.m_world.m_lastLogLines["worker-list/entries-refused"].ends_with("more=2990"));
}

/// Another writer's copy of an entry, with a later start, stands in the list while the entry of the worker has expired.
Test(worker, unlistedBesideACopyOfItsEntry_itsRunsAreNotGivenUpWhileTheyRun)
{
    WorldFixture fixture;
    World &world = fixture.m_world;
    for (const fleet::WorkerId &worker : world.workers()) {
        workers::Registration copy = world.m_fleet.m_workers.at(worker).m_registration;
        copy.m_incarnation.m_worker = fleet::WorkerId("z-" + worker.value());
        copy.m_incarnation.m_startedAtMs += 1;
        world.writeEntry({copy.m_incarnation.m_worker, copy});
    }
    const jobs::JobId job = fixture.submit(makeTasks(1), {4s});
    world.run(2s);
    world.unlist(fixture.runningWorker(job));
    world.run(6s);
    cr_assert_eq(fixture.runCount(job), 1);
    fixture.expectNoViolation();
}
