#include "components/simulation/world_fixture_test.hpp"

#include <chrono>

#include <criterion/criterion.h>

using namespace std::chrono_literals;
using namespace simulation;
using namespace simulation::test;

Test(worker, gone_itsRunsBeginElsewhereAfterOneLease)
{
    WorldFixture fixture;
    const jobs::JobId job = fixture.submit(tasksOf(1), {2s});
    fixture.m_world.run(300ms);
    const fleet::WorkerId worker = fixture.workerOf(job);
    fixture.m_world.crashWorker(worker, false);
    fixture.m_world.unlist(worker);
    cr_assert(fixture.completes(job, 10s));
    cr_assert_eq(fixture.runsOf(job), 2);
    fixture.expectNoViolation();
}

Test(worker, cutOff_itsLeaseIsNotExtendedByLooksWithoutAnswer)
{
    WorldFixture fixture;
    const jobs::JobId job = fixture.submit(tasksOf(1), {30s});
    fixture.m_world.run(300ms);
    fixture.m_world.m_faults.m_cutWorkers.insert(fixture.workerOf(job));
    const bool beginsElsewhere = fixture.m_world.runUntil(
        [&] {
            return fixture.runsOf(job) == 2;
        },
        8s);
    cr_assert(beginsElsewhere);
    fixture.expectNoViolation();
}

Test(worker, reborn_itsRunsAreLostAndBeginAgainAtOnce)
{
    WorldFixture fixture;
    const jobs::JobId job = fixture.submit(tasksOf(1), {2s});
    fixture.m_world.run(300ms);
    fixture.m_world.crashWorker(fixture.workerOf(job), true);
    const bool beginsAgain = fixture.m_world.runUntil(
        [&] {
            return fixture.runsOf(job) == 2;
        },
        4s);
    cr_assert(beginsAgain);
    cr_assert(fixture.completes(job, 5s));
    fixture.expectNoViolation();
}

/// The look that brings an end, the one that waits for the end of the stop, and the one that tells the worker to forget it.
Test(worker, endDuringAStop_theStopIsWaitedForAndNotPolled)
{
    WorldFixture fixture;
    const jobs::JobId stopped = fixture.submit(tasksOf(1), {30s});
    const jobs::JobId ending = fixture.submit(tasksOf(1), {700ms});
    fixture.m_world.run(400ms);
    cr_assert(fixture.workerOf(stopped) == fixture.workerOf(ending));
    const int before = fixture.m_world.m_looksAnswered;
    fixture.m_world.cancel(fixture.otherThanHolder(), stopped);
    fixture.m_world.run(800ms);
    cr_assert_eq(fixture.runsThatEnded(stopped, "stopped"), 1);
    cr_assert_eq(fixture.runsThatEnded(ending, "done"), 1);
    cr_assert_leq(fixture.m_world.m_looksAnswered - before, 3);
}

/// The look that brings the end; the next one is sent when the end is stored, and waits.
Test(worker, endBeingStored_isNotAskedForAgain)
{
    WorldFixture fixture;
    fixture.submit(tasksOf(1), {30s});
    const jobs::JobId ending = fixture.submit(tasksOf(1), {400ms});
    fixture.m_world.run(200ms);
    const int before = fixture.m_world.m_looksAnswered;
    cr_assert(fixture.completes(ending, 1s));
    cr_assert_leq(fixture.m_world.m_looksAnswered - before, 1);
}

/// The order that was not answered reaches the worker's next life, which has no memory of the run.
Test(worker, orderCarriedOutLateInTheNextLife_noTaskRunsTwice)
{
    for (unsigned seed = 1; seed <= 12; ++seed) {
        WorldSettings settings;
        settings.m_seed = seed;
        WorldFixture fixture(settings);
        fixture.m_world.m_faults.m_lateOrders = 1;
        const jobs::JobId job = fixture.submit(tasksOf(1), {8s});
        fixture.m_world.run(40ms);
        fixture.m_world.m_faults.m_lateOrders = 0;
        const bool isRunning = fixture.m_world.runUntil(
            [&] {
                return fixture.isRunning(job);
            },
            2s);
        cr_assert(isRunning);
        fixture.m_world.run(300ms);
        fixture.m_world.crashWorker(fixture.workerOf(job), true);
        cr_assert(fixture.completes(job, 20s));
        fixture.expectNoViolation();
    }
}

Test(worker, ordersCarriedOutLate_noTaskRunsTwice)
{
    WorldFixture fixture;
    fixture.m_world.m_faults.m_lateOrders = 0.4;
    std::vector<jobs::JobId> jobs;
    for (int i = 0; i < 6; ++i) {
        jobs.push_back(fixture.submit(tasksOf(4), {700ms}));
    }
    fixture.m_world.run(4s);
    fixture.m_world.m_faults.m_lateOrders = 0;
    for (const jobs::JobId &job : jobs) {
        cr_assert(fixture.completes(job, 20s));
    }
    fixture.m_world.run(12s);
    fixture.expectNoViolation();
}

Test(worker, draining_getsNoNewRuns)
{
    WorldFixture fixture;
    const fleet::WorkerId worker = fixture.m_world.workers().front();
    fixture.m_world.setDraining(worker, true);
    fixture.m_world.run(2s);
    fixture.submit(tasksOf(60), {1s});
    fixture.m_world.run(3s);
    for (const RunHistory &run : fixture.m_world.m_fleet.m_history) {
        cr_assert(run.m_on.m_worker != worker);
    }
}

Test(worker, zoneOut_getsNoNewRuns)
{
    WorldFixture fixture;
    fixture.m_world.takeOut(fleet::ZoneId("z0"), true);
    fixture.m_world.run(2s);
    fixture.submit(tasksOf(60), {1s});
    fixture.m_world.run(3s);
    for (const RunHistory &run : fixture.m_world.m_fleet.m_history) {
        cr_assert(fixture.m_world.m_fleet.m_workers.at(run.m_on.m_worker).m_registration.m_zone != fleet::ZoneId("z0"));
    }
}

Test(worker, idleAndOnceSilent_isUsedAgain)
{
    WorldSettings settings;
    settings.m_zones = 1;
    settings.m_workersPerZone = 1;
    WorldFixture fixture(settings);
    const fleet::WorkerId worker = fixture.m_world.workers().front();
    fixture.m_world.m_faults.m_cutWorkers.insert(worker);
    const jobs::JobId job = fixture.submit(tasksOf(1), {500ms});
    fixture.m_world.run(8s);
    fixture.m_world.m_faults.m_cutWorkers.clear();
    cr_assert(fixture.completes(job, 8s));
}

Test(worker, failsEverything_jobsAreDoneElsewhere)
{
    WorldFixture fixture;
    fixture.m_world.m_fleet.m_workers.begin()->second.m_failsEverything = true;
    std::vector<jobs::JobId> jobs;
    for (int i = 0; i < 8; ++i) {
        jobs.push_back(fixture.submit(tasksOf(4), {400ms}));
        fixture.m_world.run(200ms);
    }
    for (const jobs::JobId &job : jobs) {
        cr_assert(fixture.completes(job, 8s));
    }
}

Test(worker, rebornBeforeTheListTellsIt_anOrderToTheOldLifeRunsOnce)
{
    WorldFixture fixture;
    fixture.m_world.crashWorker(fixture.m_world.workers().front(), true);
    const jobs::JobId job = fixture.submit(tasksOf(1), {1s});
    cr_assert(fixture.completes(job, 5s));
    fixture.expectNoViolation();
}

Test(worker, zonePartitioned_itsIdleWorkersGetNoNewRuns)
{
    WorldFixture fixture;
    fixture.m_world.m_faults.m_cutZones.insert(fixture.otherZone());
    fixture.m_world.run(1s);
    // The other two zones have eight workers of eight accelerators.
    std::vector<jobs::JobId> gangs(4);
    for (jobs::JobId &gang : gangs) {
        fixture.submitThrough(fixture.m_world.holder(), gangOf(2, 8), {500ms}, 0, gang);
    }
    fixture.m_world.run(1500ms);
    for (const jobs::JobId &gang : gangs) {
        cr_assert_eq(fixture.m_world.stateOf(fixture.m_world.holder(), gang), jobs::JobState::Completed);
        cr_assert_eq(fixture.runsOf(gang), 2);
    }
    fixture.expectNoViolation();
}

Test(worker, instancesOfAZoneGone_itsWorkersAreUsedAllTheSame)
{
    WorldFixture fixture;
    const int holder = fixture.m_world.holder();
    const fleet::ZoneId gone = fixture.otherZone();
    for (int instance = 0; instance < fixture.m_world.instanceCount(); ++instance) {
        if (fixture.m_world.zoneOf(instance) == gone) {
            fixture.m_world.kill(instance);
        }
    }
    fixture.m_world.run(1s);
    std::vector<jobs::JobId> gangs(6);
    for (jobs::JobId &gang : gangs) {
        fixture.submitThrough(holder, gangOf(2, 8), {500ms}, 0, gang);
    }
    // Long enough for all six at once, and not for one after another.
    fixture.m_world.run(900ms);
    for (const jobs::JobId &gang : gangs) {
        cr_assert_eq(fixture.m_world.stateOf(holder, gang), jobs::JobState::Completed);
    }
    fixture.expectNoViolation();
}
