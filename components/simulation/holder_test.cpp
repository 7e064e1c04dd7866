#include "components/journal/snapshot.hpp"
#include "components/simulation/world_fixture_test.hpp"

#include <chrono>

#include <criterion/criterion.h>

using namespace std::chrono_literals;
using namespace simulation;
using namespace simulation::test;

namespace
{

/// Partitions the zone from the others and from the store.
void cutOff(World &world, const fleet::ZoneId &zone)
{
    world.m_faults.m_partitionedZones.insert(zone);
    for (int i = 0; i < world.instanceCount(); ++i) {
        if (world.zoneOf(i) == zone) {
            world.m_faults.m_cutFromStore.insert(i);
        }
    }
}

}

Test(holder, killed_isReplacedWithinASecondAndNothingRunsTwice)
{
    WorldFixture fixture;
    const jobs::JobId job = fixture.submit(makeTasks(6), {4s});
    fixture.m_world.run(500ms);
    const int before = fixture.m_world.holder();
    fixture.m_world.kill(before);
    cr_assert(fixture.waitForHolder(1s));
    cr_assert_neq(fixture.m_world.holder(), before);
    cr_assert(fixture.completes(job, 5s));
    cr_assert_eq(fixture.runCount(job), 6);
    fixture.expectNoViolation();
}

/// The successor cannot reach the worker of one member for a while. The others report progress, so the gang is complete and works;
/// it was stopped because one member was not known to run.
Test(holder, killedWhileAMemberOfAGangIsUnreachable_successorLetsTheGangWork)
{
    WorldFixture fixture;
    const jobs::JobId job = fixture.submit(makeGang(4, 8), {6s});
    fixture.m_world.run(1s);
    fixture.m_world.m_faults.m_unreachableWorkers.insert(fixture.runningWorker(job));
    fixture.m_world.kill(fixture.m_world.holder());
    fixture.m_world.run(3s);
    fixture.m_world.m_faults.m_unreachableWorkers.clear();
    cr_assert(fixture.completes(job, 6s));
    cr_assert_eq(fixture.runCount(job), 4);
    fixture.expectNoViolation();
}

/// The zone of the holder is cut off, and a gang has members on both sides. The holder renewed leases in its zone until its authority
/// ended, but then gave up the members outside, whose leases the successor renews, and stopped those in its zone.
Test(holder, cutOffWithItsZone_gangAcrossTheCutIsKeptByBothHolders)
{
    WorldFixture fixture;
    const jobs::JobId job = fixture.submit(makeGang(12, 8), {10s});
    fixture.m_world.run(1s);
    cutOff(fixture.m_world, fixture.m_world.zoneOf(fixture.m_world.holder()));
    fixture.m_world.run(7s);
    fixture.m_world.m_faults = Faults();
    cr_assert(fixture.completes(job, 8s));
    cr_assert_eq(fixture.runCount(job), 12);
    fixture.expectNoViolation();
}

/// The successor reaches none of the workers that run a gang, which are all in a zone that is cut off. That they do not answer does not
/// show that a member is missing.
Test(holder, killedWhileAWholeGangIsUnreachable_successorLetsTheGangWork)
{
    WorldFixture fixture;
    const fleet::ZoneId zone = fixture.zoneWithoutHolder();
    for (const fleet::WorkerId &worker : fixture.m_world.workers()) {
        if (fixture.m_world.m_fleet.m_workers.at(worker).m_registration.m_zone != zone) {
            fixture.m_world.setDraining(worker, true);
        }
    }
    fixture.m_world.run(1s);
    const jobs::JobId job = fixture.submit(makeGang(4, 8), {5500ms});
    fixture.m_world.run(1s);
    cr_assert_eq(fixture.runCount(job), 4);
    cutOff(fixture.m_world, zone);
    fixture.m_world.kill(fixture.m_world.holder());
    fixture.m_world.run(4s);
    fixture.m_world.m_faults = Faults();
    cr_assert(fixture.completes(job, 6s));
    cr_assert_eq(fixture.runCount(job), 4);
    fixture.expectNoViolation();
}

Test(holder, killedBetweenRecordAndOrder_successorStartsTheRun)
{
    WorldFixture fixture;
    jobs::JobId job;
    fixture.submitThrough(fixture.nonHolder(), makeTasks(2), {500ms}, 1, job);
    // The append of the launch record is still in progress.
    fixture.m_world.run(15ms);
    fixture.m_world.kill(fixture.m_world.holder());
    cr_assert(fixture.completes(job, 4s));
    fixture.expectNoViolation();
}

Test(holder, cutFromTheStore_isReplacedAndStepsDown)
{
    WorldFixture fixture;
    const jobs::JobId job = fixture.submit(makeTasks(6), {4s});
    fixture.m_world.run(500ms);
    const int before = fixture.m_world.holder();
    fixture.m_world.m_faults.m_cutFromStore.insert(before);
    const bool isReplaced = fixture.m_world.runUntil(
        [&] {
            return fixture.m_world.holder() >= 0 && fixture.m_world.holder() != before;
        },
        1500ms);
    cr_assert(isReplaced);
    fixture.m_world.run(1s);
    cr_assert_eq(fixture.m_world.m_logCounts["duty/hold"], 2);
    cr_assert(fixture.completes(job, 5s));
    cr_assert_eq(fixture.runCount(job), 6);
    fixture.expectNoViolation();
}

/// An instance with a quarter of the processor time of others takes the duty when no other can, as during a rolling restart. It kept the
/// duty, and the first start of urgent jobs took four times as long for the rest of the day.
struct WeakHolderFixture : WorldFixture
{
    WeakHolderFixture()
        : WorldFixture(siteSettings())
    {
        for (int i = 0; i < strongInstances; ++i) {
            m_world.kill(i);
        }
        cr_assert(waitForHolder(4s));
        cr_assert_geq(m_world.holder(), strongInstances);
    }

    static WorldSettings siteSettings()
    {
        WorldSettings settings;
        settings.m_strongInstances = strongInstances;
        return settings;
    }

    void restartStrongInstances()
    {
        for (int i = 0; i < strongInstances; ++i) {
            m_world.restart(i);
        }
    }

    static constexpr int strongInstances = 2;
};

Test(holder, withLittleProcessorTime_handsOverOnceAStrongInstanceIsBack)
{
    WeakHolderFixture fixture;
    const jobs::JobId job = fixture.submit(makeTasks(6), {8s});
    fixture.m_world.run(500ms);
    fixture.restartStrongInstances();
    const bool isHandedOver = fixture.m_world.runUntil(
        [&] {
            return fixture.m_world.holder() >= 0 && fixture.m_world.holder() < WeakHolderFixture::strongInstances;
        },
        4s);
    cr_assert(isHandedOver);
    cr_assert(fixture.completes(job, 10s));
    cr_assert_eq(fixture.runCount(job), 6);
    fixture.m_world.run(5s);
    cr_assert_eq(fixture.m_world.m_logCounts["duty/hand-over"], 1);
    fixture.expectNoViolation();
}

/// The stop came while the resignation was being stored. Its answer was ignored, so that the process waited until its time limit.
Test(holder, stoppedWhileHandingOver_exitsBeforeItsTimeLimit)
{
    WeakHolderFixture fixture;
    fixture.m_world.m_faults.m_storeDelay = 60ms;
    fixture.restartStrongInstances();
    const int before = fixture.m_world.holder();
    const bool isHandingOver = fixture.m_world.runUntil(
        [&] {
            return fixture.m_world.m_logCounts["duty/hand-over"] > 0;
        },
        5s);
    cr_assert(isHandingOver);
    fixture.m_world.requestStop(before);
    fixture.m_world.run(3s);
    cr_assert_not(fixture.m_world.isRunning(before));
    cr_assert_lt(fixture.m_world.holder(), WeakHolderFixture::strongInstances);
    fixture.expectNoViolation();
}

Test(holder, withLittleProcessorTimeWhileStrongInstancesLackTheStore_keepsTheDuty)
{
    WeakHolderFixture fixture;
    fixture.restartStrongInstances();
    fixture.m_world.run(50ms);
    for (int i = 0; i < WeakHolderFixture::strongInstances; ++i) {
        fixture.m_world.m_faults.m_cutFromStore.insert(i);
    }
    fixture.m_world.run(500ms);
    const int before = fixture.m_world.m_logCounts["duty/hand-over"];
    fixture.m_world.run(8s);
    cr_assert_leq(fixture.m_world.m_logCounts["duty/hand-over"] - before, 1);
    cr_assert_geq(fixture.m_world.holder(), WeakHolderFixture::strongInstances);
}

/// An error that nobody expected ended the process, and with it the calls that it served.
Test(holder, unexpectedErrorWhileScheduling_anotherInstanceTakesOverAndTheProcessGoesOn)
{
    WorldFixture fixture;
    const int before = fixture.m_world.holder();
    fixture.m_world.m_faults.m_throwingStarts = 1;
    jobs::JobId job;
    const int call = fixture.submitThrough(before, makeTasks(4), {500ms}, 1, job);
    cr_assert(fixture.completes(job, 8s));
    cr_assert(fixture.m_world.wasAccepted(call));
    cr_assert(fixture.m_world.isRunning(before));
    cr_assert_eq(fixture.m_world.m_logCounts["node/unexpected-error"], 1);
    cr_assert_eq(fixture.endedRunCount(job, "done"), 4);
    fixture.expectNoViolation();
}

Test(holder, refusedByTheStore_isReplacedWithinASecond)
{
    WorldFixture fixture;
    const int before = fixture.m_world.holder();
    fixture.submit(makeTasks(2), {10s});
    fixture.m_world.m_faults.m_refusedByStore.insert(before);
    const bool isReplaced = fixture.m_world.runUntil(
        [&] {
            return fixture.m_world.m_logCounts["duty/hold"] == 2;
        },
        1s);
    cr_assert(isReplaced);
}

Test(holder, frozen_isReplacedAndNothingRunsTwice)
{
    WorldFixture fixture;
    const jobs::JobId job = fixture.submit(makeTasks(6), {6s});
    fixture.m_world.run(500ms);
    fixture.m_world.freeze(fixture.m_world.holder(), 4s);
    cr_assert(fixture.waitForHolder(1500ms));
    fixture.m_world.run(5s);
    cr_assert(fixture.completes(job, 5s));
    cr_assert_eq(fixture.runCount(job), 6);
    fixture.expectNoViolation();
}

Test(holder, askedToStop_handsOverAtOnce)
{
    WorldFixture fixture;
    const int before = fixture.m_world.holder();
    fixture.m_world.requestStop(before);
    const bool isReplaced = fixture.m_world.runUntil(
        [&] {
            return fixture.m_world.holder() >= 0 && fixture.m_world.holder() != before;
        },
        500ms);
    cr_assert(isReplaced);
}

Test(holder, appendAnswersLost_keepsTheDuty)
{
    WorldFixture fixture;
    fixture.m_world.m_faults.m_unansweredAppends = 0.6;
    const jobs::JobId job = fixture.submit(makeTasks(4), {1s});
    cr_assert(fixture.completes(job, 10s));
    fixture.m_world.run(5s);
    cr_assert_eq(fixture.m_world.m_logCounts["duty/hold"], 1);
    fixture.expectNoViolation();
}

Test(holder, storeUnresponsiveForAllInstances_keepsTheDutyAndItsRuns)
{
    WorldFixture fixture;
    const jobs::JobId job = fixture.submit(makeTasks(6), {12s});
    fixture.m_world.run(500ms);
    fixture.m_world.m_faults.m_store = StoreMode::Unresponsive;
    fixture.m_world.run(8s);
    fixture.m_world.m_faults.m_store = StoreMode::Available;
    cr_assert(fixture.completes(job, 10s));
    cr_assert_eq(fixture.runCount(job), 6);
    cr_assert_eq(fixture.m_world.m_logCounts["duty/hold"], 1);
    fixture.expectNoViolation();
}

Test(holder, everyInstanceKilledAtOnce_everyAcceptedJobIsKnownAndDone)
{
    WorldFixture fixture;
    std::vector<jobs::JobId> accepted;
    for (int i = 0; i < 5; ++i) {
        accepted.push_back(fixture.submit(makeTasks(2), {1s}));
    }
    for (int i = 0; i < fixture.m_world.instanceCount(); ++i) {
        fixture.m_world.kill(i);
    }
    fixture.m_world.run(1s);
    for (int i = 0; i < fixture.m_world.instanceCount(); ++i) {
        fixture.m_world.restart(i);
    }
    cr_assert(fixture.waitForHolder(2s));
    for (const jobs::JobId &job : accepted) {
        cr_assert(fixture.completes(job, 8s));
    }
    fixture.expectNoViolation();
}

Test(holder, journalExpiredUpToASnapshot_aNewInstanceKnowsTheJobs)
{
    WorldSettings settings;
    settings.m_journalRetention = 8s;
    WorldFixture fixture(settings);
    const jobs::JobId done = fixture.submit(makeTasks(1), {300ms});
    cr_assert(fixture.completes(done, 3s));
    const jobs::JobId running = fixture.submit(makeTasks(1), {20s});
    cr_assert(fixture.m_world.runUntil(
        [&] {
            return fixture.m_world.m_logCounts["journal/snapshot-stored"] >= 1;
        },
        10s));
    const auto snapshot = journal::assembleSnapshot(newest(fixture.m_world.m_store, {"foxtailcross.snapshot", 0, true}));
    cr_assert(snapshot.has_value());
    expire(fixture.m_world.m_store, {"foxtailcross.journal", 0, false}, snapshot->m_next);
    const int other = fixture.nonHolder();
    fixture.m_world.kill(other);
    fixture.m_world.restart(other);
    fixture.m_world.run(1s);
    cr_assert(fixture.m_world.stateOf(other, done) == jobs::JobState::Completed);
    cr_assert(fixture.m_world.stateOf(other, running) == jobs::JobState::Running);
}

/// The stopping holder notifies its successor, which need not wait for the timeout of missing heartbeats, 330 ms.
Test(holder, stoppedWithRecordsUnderWay_successorTakesOverAtOnce)
{
    WorldFixture fixture;
    for (int i = 0; i < 8; ++i) {
        const int before = fixture.m_world.holder();
        jobs::JobId job;
        fixture.submitThrough(fixture.nonHolder(), makeTasks(3), {400ms}, 1, job);
        // The append of the launch, or of the end of an earlier run, is still in progress.
        fixture.m_world.run(fleet::Duration(8 + 3 * i));
        fixture.m_world.requestStop(before);
        const bool isReplaced = fixture.m_world.runUntil(
            [&] {
                return fixture.m_world.holder() >= 0 && fixture.m_world.holder() != before;
            },
            300ms);
        cr_assert(isReplaced, "round %d", i);
        fixture.m_world.run(7s);
        fixture.m_world.restart(before);
        fixture.m_world.run(1s);
    }
    fixture.expectNoViolation();
}

Test(holder, strongHolderKilled_theOtherStrongInstanceTakesOver)
{
    WorldSettings settings;
    settings.m_strongInstances = 2;
    WorldFixture fixture(settings);
    const int first = fixture.m_world.holder();
    cr_assert_lt(first, 2);
    fixture.m_world.kill(first);
    cr_assert(fixture.waitForHolder(1s));
    cr_assert_eq(fixture.m_world.holder(), 1 - first);
    // With no strong instance left, any other one takes over.
    fixture.m_world.kill(1 - first);
    cr_assert(fixture.waitForHolder(3s));
}

Test(holder, otherZonePartitioned_keepsTheDuty)
{
    for (unsigned seed = 1; seed <= 20; ++seed) {
        WorldSettings settings;
        settings.m_seed = seed;
        WorldFixture fixture(settings);
        const int before = fixture.m_world.holder();
        fixture.m_world.run(fleet::Duration(13 * seed));
        const int zones = settings.m_zones;
        const int cut = (before / settings.m_instancesPerZone + 1) % zones;
        fixture.m_world.m_faults.m_partitionedZones.insert(fixture.m_world.zoneOf(cut * settings.m_instancesPerZone));
        fixture.m_world.run(6s);
        cr_assert_eq(fixture.m_world.holder(), before, "seed %u", seed);
        cr_assert_eq(fixture.m_world.m_logCounts["duty/hold"], 1, "seed %u", seed);
    }
}

/// A starting process reads the newest snapshot and all later records, so old snapshots make starts slow.
Test(holder, longJournalRetention_snapshotsAreStillStoredRegularly)
{
    WorldFixture fixture;
    fixture.m_world.run(20s);
    const int before = fixture.m_world.m_logCounts["journal/snapshot-stored"];
    for (int i = 0; i < 30; ++i) {
        fixture.submit(makeTasks(1), {100ms});
        fixture.m_world.run(1s);
    }
    cr_assert_geq(fixture.m_world.m_logCounts["journal/snapshot-stored"] - before, 1);
}
