#include "components/simulation/world_fixture_test.hpp"

#include <algorithm>
#include <chrono>

#include <criterion/criterion.h>

using namespace std::chrono_literals;
using namespace simulation;
using namespace simulation::test;

namespace
{

/// Cuts the worker off until the run of the job there has ended as given and the scheduler has launched another one.
void runUntilGivenUp(WorldFixture &fixture, jobs::JobId job, const fleet::WorkerId &worker, const std::string &how = "done")
{
    const int before = fixture.runCount(job);
    fixture.m_world.m_faults.m_unreachableWorkers.insert(worker);
    const bool isGivenUp = fixture.m_world.runUntil(
        [&] {
            return fixture.runCount(job) > before;
        },
        12s);
    cr_assert(isGivenUp);
    cr_assert_geq(fixture.endedRunCount(job, how), 1);
}

/// Submits a job of two steps, of which the second depends on the first, and waits until the first one runs.
jobs::JobId submitTwoSteps(WorldFixture &fixture, const Behaviour &behaviour, std::uint16_t tasks = 1)
{
    jobs::JobSpec spec;
    spec.m_id.m_value = 1;
    spec.m_queue = fleet::QueueId("q1");
    spec.m_steps = {makeTasks(tasks), makeTasks(2)};
    spec.m_steps.back().m_dependsOn = {0};
    fixture.m_world.submit(fixture.nonHolder(), spec, behaviour);
    fixture.m_world.run(1s);
    cr_assert(fixture.isRunning(spec.m_id));
    return spec.m_id;
}

/// Cuts off the worker that runs the job's only task, which is done there before the cut is over.
void cutOffUntilDone(WorldFixture &fixture, jobs::JobId job, fleet::Duration length)
{
    fixture.m_world.m_faults.m_unreachableWorkers.insert(fixture.runningWorker(job));
    const fleet::BootTime end = fixture.m_world.now() + length;
    fixture.m_world.runUntil(
        [&] {
            return fixture.m_world.now() >= end;
        },
        length);
    cr_assert_eq(fixture.endedRunCount(job, "done"), 1, "after a cut of %d ms", static_cast<int>(length.count()));
    fixture.m_world.m_faults.m_unreachableWorkers.clear();
}

/// Runs until a task of the second step runs; returns false if that takes longer than the limit.
bool secondStepBegins(WorldFixture &fixture, fleet::Duration limit)
{
    return fixture.m_world.runUntil(
        [&] {
            const std::vector<RunRecord> &history = fixture.m_world.m_fleet.m_history;
            return std::any_of(history.begin(), history.end(), [](const RunRecord &run) {
                return run.m_run.m_task.m_step.m_step == 1;
            });
        },
        limit);
}

/// A job is lost if it has stood still for 3 s when it is asked for 4.5 s after a partition. So it has to go on within this time.
constexpr fleet::Duration timeToGoOn {1500};

struct DoneJob
{
    jobs::JobId m_job;
    fleet::WorkerId m_worker;
};

/// Runs a job of one task to its end, of which the first start order gets no answer and is still under way.
DoneJob runWithALateOrder(WorldFixture &fixture)
{
    DoneJob done;
    fixture.m_world.m_faults.m_delayedOrders = 1;
    done.m_job = fixture.submit(makeTasks(1), {200ms});
    fixture.m_world.run(40ms);
    fixture.m_world.m_faults.m_delayedOrders = 0;
    cr_assert(fixture.m_world.runUntil(
        [&] {
            return fixture.isRunning(done.m_job);
        },
        2s));
    done.m_worker = fixture.runningWorker(done.m_job);
    cr_assert(fixture.completes(done.m_job, 2s));
    return done;
}

}

Test(worker, removed_itsRunsBeginElsewhereAfterOneLease)
{
    WorldFixture fixture;
    const jobs::JobId job = fixture.submit(makeTasks(1), {2s});
    fixture.m_world.run(300ms);
    const fleet::WorkerId worker = fixture.runningWorker(job);
    fixture.m_world.crashWorker(worker, false);
    fixture.m_world.unlist(worker);
    cr_assert(fixture.completes(job, 10s));
    cr_assert_eq(fixture.runCount(job), 2);
    fixture.expectNoViolation();
}

Test(worker, partitioned_unansweredPollsDoNotExtendItsLease)
{
    WorldFixture fixture;
    const jobs::JobId job = fixture.submit(makeTasks(1), {30s});
    fixture.m_world.run(300ms);
    fixture.m_world.m_faults.m_unreachableWorkers.insert(fixture.runningWorker(job));
    const bool beginsElsewhere = fixture.m_world.runUntil(
        [&] {
            return fixture.runCount(job) == 2;
        },
        8s);
    cr_assert(beginsElsewhere);
    fixture.expectNoViolation();
}

Test(worker, restarted_itsRunsAreLostAndBeginAgainAtOnce)
{
    WorldFixture fixture;
    const jobs::JobId job = fixture.submit(makeTasks(1), {2s});
    fixture.m_world.run(300ms);
    fixture.m_world.crashWorker(fixture.runningWorker(job), true);
    const bool beginsAgain = fixture.m_world.runUntil(
        [&] {
            return fixture.runCount(job) == 2;
        },
        4s);
    cr_assert(beginsAgain);
    cr_assert(fixture.completes(job, 5s));
    fixture.expectNoViolation();
}

/// At most three polls: one reports an end, one waits for the end of the stop, and one acknowledges that end.
Test(worker, endDuringAStop_fewPollsWaitForTheStop)
{
    WorldFixture fixture;
    const jobs::JobId stopped = fixture.submit(makeTasks(1), {30s});
    const jobs::JobId ending = fixture.submit(makeTasks(1), {700ms});
    fixture.m_world.run(400ms);
    cr_assert(fixture.runningWorker(stopped) == fixture.runningWorker(ending));
    const int before = fixture.m_world.m_answeredPolls;
    fixture.m_world.cancel(fixture.nonHolder(), stopped);
    fixture.m_world.run(800ms);
    cr_assert_eq(fixture.endedRunCount(stopped, "stopped"), 1);
    cr_assert_eq(fixture.endedRunCount(ending, "done"), 1);
    cr_assert_leq(fixture.m_world.m_answeredPolls - before, 3);
}

/// At most one poll is answered: the one that reports the end. The next is sent once the end is stored, and waits.
Test(worker, endBeingStored_isNotPolledAgain)
{
    WorldFixture fixture;
    fixture.submit(makeTasks(1), {30s});
    const jobs::JobId ending = fixture.submit(makeTasks(1), {400ms});
    fixture.m_world.run(200ms);
    const int before = fixture.m_world.m_answeredPolls;
    cr_assert(fixture.completes(ending, 1s));
    cr_assert_leq(fixture.m_world.m_answeredPolls - before, 1);
}

/// An unanswered order reaches the worker after its restart, when it has no record of the run.
Test(worker, orderCarriedOutLateAfterARestart_noTaskRunsTwice)
{
    for (unsigned seed = 1; seed <= 12; ++seed) {
        WorldSettings settings;
        settings.m_seed = seed;
        WorldFixture fixture(settings);
        fixture.m_world.m_faults.m_delayedOrders = 1;
        const jobs::JobId job = fixture.submit(makeTasks(1), {8s});
        fixture.m_world.run(40ms);
        fixture.m_world.m_faults.m_delayedOrders = 0;
        const bool isRunning = fixture.m_world.runUntil(
            [&] {
                return fixture.isRunning(job);
            },
            2s);
        cr_assert(isRunning);
        fixture.m_world.run(300ms);
        fixture.m_world.crashWorker(fixture.runningWorker(job), true);
        cr_assert(fixture.completes(job, 20s));
        fixture.expectNoViolation();
    }
}

/// The same after the run has ended, when the holder expects nothing of the worker any more.
Test(worker, orderCarriedOutAfterItsRunEndedAndARestart_isRefused)
{
    for (unsigned seed = 1; seed <= 12; ++seed) {
        WorldSettings settings;
        settings.m_seed = seed;
        WorldFixture fixture(settings);
        const DoneJob done = runWithALateOrder(fixture);
        fixture.m_world.crashWorker(done.m_worker, true);
        fixture.m_world.run(15s);
        cr_assert_eq(fixture.runCount(done.m_job), 1, "seed %u", seed);
        fixture.expectNoViolation();
    }
}

/// The worker's entry is gone for a while, so that the holder forgets the worker.
Test(worker, orderCarriedOutAfterItsRunEndedAndTheWorkerWasForgotten_isRefused)
{
    for (unsigned seed = 1; seed <= 12; ++seed) {
        WorldSettings settings;
        settings.m_seed = seed;
        WorldFixture fixture(settings);
        const DoneJob done = runWithALateOrder(fixture);
        fixture.m_world.unlist(done.m_worker);
        fixture.m_world.run(300ms);
        fixture.m_world.crashWorker(done.m_worker, true);
        fixture.m_world.run(15s);
        cr_assert_eq(fixture.runCount(done.m_job), 1, "seed %u", seed);
        fixture.expectNoViolation();
    }
}

/// The new holder does not know of the order, but its fencing token has the worker refuse it once the holder has read of the restart.
Test(worker, orderOfAFormerHolderCarriedOutAfterARestart_isRefused)
{
    for (unsigned seed = 1; seed <= 12; ++seed) {
        WorldSettings settings;
        settings.m_seed = seed;
        WorldFixture fixture(settings);
        const DoneJob done = runWithALateOrder(fixture);
        fixture.m_world.kill(fixture.m_world.holder());
        cr_assert(fixture.waitForHolder(2s));
        fixture.m_world.run(500ms);
        fixture.m_world.crashWorker(done.m_worker, true);
        // The list shows the restart after 0.3 s and is read twice a second.
        fixture.m_world.run(850ms);
        const int before = fixture.runCount(done.m_job);
        fixture.m_world.run(15s);
        cr_assert_eq(fixture.runCount(done.m_job), before, "seed %u", seed);
    }
}

Test(worker, ordersCarriedOutLate_noTaskRunsTwice)
{
    WorldFixture fixture;
    fixture.m_world.m_faults.m_delayedOrders = 0.4;
    std::vector<jobs::JobId> jobs;
    for (int i = 0; i < 6; ++i) {
        jobs.push_back(fixture.submit(makeTasks(4), {700ms}));
    }
    fixture.m_world.run(4s);
    fixture.m_world.m_faults.m_delayedOrders = 0;
    for (const jobs::JobId &job : jobs) {
        cr_assert(fixture.completes(job, 20s));
    }
    fixture.m_world.run(12s);
    fixture.expectNoViolation();
}

Test(worker, runDoneWhileItsWorkerWasUnreachable_countsAlthoughItWasGivenUp)
{
    WorldFixture fixture;
    const jobs::JobId job = fixture.submit(makeTasks(1), {5s});
    fixture.m_world.run(1s);
    const fleet::WorkerId worker = fixture.runningWorker(job);
    runUntilGivenUp(fixture, job, worker);
    fixture.m_world.m_faults.m_unreachableWorkers.clear();
    // The second run takes five seconds more.
    cr_assert(fixture.completes(job, 3s), "the task is done, and the scheduler waits for another run of it");
    fixture.m_world.run(2s);
    cr_assert_eq(fixture.runCount(job), 2);
    cr_assert_eq(fixture.endedRunCount(job, "stopped"), 1);
    fixture.expectNoViolation();
}

Test(worker, runDoneWhileItsWorkerWasUnreachable_nextStepBegins)
{
    WorldFixture fixture;
    const jobs::JobId job = submitTwoSteps(fixture, {5s}, 3);
    runUntilGivenUp(fixture, job, fixture.runningWorker(job));
    fixture.m_world.m_faults.m_unreachableWorkers.clear();
    cr_assert(secondStepBegins(fixture, 2s), "the first step is done, and the second does not begin");
    fixture.expectNoViolation();
}

/// The worker's entry expires while it is cut off, so that it has to be polled for its ends although no run is expected there.
Test(worker, runDoneWhileItsWorkerWasUnlisted_countsOnceItIsListedAgain)
{
    WorldFixture fixture;
    const jobs::JobId job = fixture.submit(makeTasks(1), {5s});
    fixture.m_world.run(1s);
    const fleet::WorkerId worker = fixture.runningWorker(job);
    fixture.m_world.unlist(worker);
    runUntilGivenUp(fixture, job, worker);
    fixture.m_world.m_faults.m_unreachableWorkers.clear();
    fixture.m_world.relist(worker);
    cr_assert(fixture.completes(job, 3s), "the task is done, and the scheduler waits for another run of it");
    fixture.expectNoViolation();
}

/// Guards against a job that stands still because the next poll of a worker that was cut off comes late.
Test(worker, cutOffForAWhile_nextStepOfWhatItDidBeginsSoonAfterTheCut)
{
    for (fleet::Duration length {1500}; length <= fleet::Duration {6500}; length += fleet::Duration {100}) {
        WorldFixture fixture;
        const jobs::JobId job = submitTwoSteps(fixture, {2s});
        cutOffUntilDone(fixture, job, length);
        cr_assert(secondStepBegins(fixture, timeToGoOn), "after a cut of %d ms", static_cast<int>(length.count()));
        fixture.expectNoViolation();
    }
}

/// Guards against a job that stands still because a worker that was cut off is not polled until its entry is written again.
Test(worker, runDoneWhileItsWorkerWasUnlisted_nextStepBeginsBeforeItIsListedAgain)
{
    for (fleet::Duration length {3500}; length <= fleet::Duration {9000}; length += fleet::Duration {100}) {
        WorldFixture fixture;
        const jobs::JobId job = submitTwoSteps(fixture, {4s});
        fixture.m_world.unlist(fixture.runningWorker(job));
        cutOffUntilDone(fixture, job, length);
        cr_assert(secondStepBegins(fixture, timeToGoOn), "after a cut of %d ms", static_cast<int>(length.count()));
        fixture.expectNoViolation();
    }
}

Test(worker, runDoneWhileItsWorkerWasUnreachable_countsForTheNextHolder)
{
    WorldFixture fixture;
    const jobs::JobId job = fixture.submit(makeTasks(1), {5s});
    fixture.m_world.run(1s);
    const fleet::WorkerId worker = fixture.runningWorker(job);
    runUntilGivenUp(fixture, job, worker);
    fixture.m_world.kill(fixture.m_world.holder());
    cr_assert(fixture.waitForHolder(2s));
    fixture.m_world.m_faults.m_unreachableWorkers.clear();
    cr_assert(fixture.completes(job, 3s), "the task is done, and the scheduler waits for another run of it");
    fixture.expectNoViolation();
}

Test(worker, gangDoneWhileItsWorkersWereUnreachable_countsAlthoughItWasGivenUp)
{
    WorldFixture fixture;
    const jobs::JobId job = fixture.submit(makeGang(2, 8), {5s});
    fixture.m_world.run(1s);
    for (const RunRecord &run : fixture.m_world.m_fleet.m_history) {
        fixture.m_world.m_faults.m_unreachableWorkers.insert(run.m_incarnation.m_worker);
    }
    const bool isGivenUp = fixture.m_world.runUntil(
        [&] {
            return fixture.runCount(job) == 4;
        },
        12s);
    cr_assert(isGivenUp);
    cr_assert_eq(fixture.endedRunCount(job, "done"), 2);
    fixture.m_world.m_faults.m_unreachableWorkers.clear();
    cr_assert(fixture.completes(job, 3s), "the gang is done, and the scheduler waits for another run of it");
    fixture.m_world.run(2s);
    cr_assert_eq(fixture.runCount(job), 4);
    cr_assert_eq(fixture.endedRunCount(job, "stopped"), 2, "the members of the other run work in vain");
    fixture.expectNoViolation();
}

/// The lease lapsed before the end could be reported, so the failure does not count as an attempt.
Test(worker, runFailedWhileItsWorkerWasUnreachable_isNoAttempt)
{
    WorldFixture fixture;
    const jobs::JobId job = fixture.submit(makeTasks(1), {5s, true});
    fixture.m_world.run(1s);
    runUntilGivenUp(fixture, job, fixture.runningWorker(job), "failed");
    fixture.m_world.m_faults.m_unreachableWorkers.clear();
    cr_assert_not(fixture.m_world.runUntil(
        [&] {
            return fixture.m_world.stateOf(fixture.nonHolder(), job) == jobs::JobState::Failed;
        },
        12s));
    cr_assert(fixture.m_world.runUntil(
        [&] {
            return fixture.m_world.stateOf(fixture.nonHolder(), job) == jobs::JobState::Failed;
        },
        12s));
    cr_assert_eq(fixture.endedRunCount(job, "failed"), 4);
}

Test(worker, draining_getsNoNewRuns)
{
    WorldFixture fixture;
    const fleet::WorkerId worker = fixture.m_world.workers().front();
    fixture.m_world.setDraining(worker, true);
    fixture.m_world.run(2s);
    fixture.submit(makeTasks(60), {1s});
    fixture.m_world.run(3s);
    for (const RunRecord &run : fixture.m_world.m_fleet.m_history) {
        cr_assert(run.m_incarnation.m_worker != worker);
    }
}

Test(worker, goneBeforeARestartOfAllInstances_getsNoRuns)
{
    WorldFixture fixture;
    const fleet::WorkerId gone = fixture.m_world.workers().front();
    fixture.submit(makeTasks(60), {500ms});
    fixture.m_world.run(3s);
    fixture.m_world.crashWorker(gone, false);
    fixture.m_world.unlist(gone);
    for (int i = 0; i < fixture.m_world.instanceCount(); ++i) {
        fixture.m_world.kill(i);
        fixture.m_world.restart(i);
    }
    cr_assert(fixture.waitForHolder(3s));
    const std::size_t before = fixture.m_world.m_fleet.m_history.size();
    // Up again at the same address, but not listed.
    fixture.m_world.m_fleet.m_workers.at(gone).m_isUp = true;
    fixture.m_world.run(500ms);
    const jobs::JobId job = fixture.submit(makeTasks(60), {500ms});
    cr_assert(fixture.completes(job, 8s));
    for (std::size_t i = before; i < fixture.m_world.m_fleet.m_history.size(); ++i) {
        cr_assert(fixture.m_world.m_fleet.m_history[i].m_incarnation.m_worker != gone);
    }
}

/// Spot capacity is taken away two seconds after it was announced. Runs that were still there ended with their workers: each was
/// given up only when its lease had expired, and with it the rest of its gang.
Test(worker, shutDownAnnounced_gangResumesElsewhereWithoutWaitingForTheLease)
{
    WorldFixture fixture;
    jobs::StepSpec gang = makeGang(4, 2);
    gang.m_writesCheckpoints = true;
    const jobs::JobId job = fixture.submit(gang, {5s});
    fixture.m_world.run(1s);
    fixture.m_world.shutDownAfter(fixture.runningWorker(job), 2s);
    cr_assert(fixture.completes(job, 6s));
    cr_assert_eq(fixture.endedRunCount(job, "lapsed"), 0);
    cr_assert_eq(fixture.endedRunCount(job, "lost"), 0);
    fixture.expectNoViolation();
}

Test(worker, shutDownAnnounced_runThatEndsInTimeIsLeftAlone)
{
    WorldFixture fixture;
    const jobs::JobId job = fixture.submit(makeTasks(1), {2s});
    fixture.m_world.run(1s);
    fixture.m_world.shutDownAfter(fixture.runningWorker(job), 3s);
    cr_assert(fixture.completes(job, 4s));
    cr_assert_eq(fixture.runCount(job), 1);
}

/// A run that keeps nothing of its work starts elsewhere as soon as its progress shows that the time left is too short.
Test(worker, shutDownAnnounced_runThatCannotEndInTimeStartsElsewhereAtOnce)
{
    WorldFixture fixture;
    const jobs::JobId job = fixture.submit(makeTasks(1), {8s});
    fixture.m_world.run(2s);
    const fleet::BootTime announced = fixture.m_world.now();
    fixture.m_world.shutDownAfter(fixture.runningWorker(job), 5s);
    fixture.m_world.run(3s);
    cr_assert_eq(fixture.runCount(job), 2);
    cr_assert_lt((fixture.m_world.m_fleet.m_history.back().m_startedAt - announced).count(), 2500);
    fixture.expectNoViolation();
}

Test(worker, zoneOut_getsNoNewRuns)
{
    WorldFixture fixture;
    fixture.m_world.setZoneOut(fleet::ZoneId("z0"), true);
    fixture.m_world.run(2s);
    fixture.submit(makeTasks(60), {1s});
    fixture.m_world.run(3s);
    for (const RunRecord &run : fixture.m_world.m_fleet.m_history) {
        cr_assert(fixture.m_world.m_fleet.m_workers.at(run.m_incarnation.m_worker).m_registration.m_zone != fleet::ZoneId("z0"));
    }
}

Test(worker, idleAndOnceUnresponsive_isUsedAgain)
{
    WorldSettings settings;
    settings.m_zones = 1;
    settings.m_workersPerZone = 1;
    WorldFixture fixture(settings);
    const fleet::WorkerId worker = fixture.m_world.workers().front();
    fixture.m_world.m_faults.m_unreachableWorkers.insert(worker);
    const jobs::JobId job = fixture.submit(makeTasks(1), {500ms});
    fixture.m_world.run(8s);
    fixture.m_world.m_faults.m_unreachableWorkers.clear();
    cr_assert(fixture.completes(job, 8s));
}

Test(worker, failsEverything_jobsAreDoneElsewhere)
{
    WorldFixture fixture;
    fixture.m_world.m_fleet.m_workers.begin()->second.m_failsEverything = true;
    std::vector<jobs::JobId> jobs;
    for (int i = 0; i < 8; ++i) {
        jobs.push_back(fixture.submit(makeTasks(4), {400ms}));
        fixture.m_world.run(200ms);
    }
    for (const jobs::JobId &job : jobs) {
        cr_assert(fixture.completes(job, 8s));
    }
}

Test(worker, restartedBeforeTheListShowsIt_orderToTheOldIncarnationRunsOnce)
{
    WorldFixture fixture;
    fixture.m_world.crashWorker(fixture.m_world.workers().front(), true);
    const jobs::JobId job = fixture.submit(makeTasks(1), {1s});
    cr_assert(fixture.completes(job, 5s));
    fixture.expectNoViolation();
}

/// The numbers of ends begin anew with each life of a worker.
Test(worker, restartedBeforeTheListShowsIt_endOfItsNewLifeIsNotAcknowledgedForAnEarlierOne)
{
    WorldSettings settings;
    settings.m_zones = 1;
    settings.m_workersPerZone = 1;
    WorldFixture fixture(settings);
    cr_assert(fixture.completes(fixture.submit(makeTasks(4), {100ms}), 2s));
    fixture.m_world.run(500ms);
    fixture.m_world.crashWorker(fixture.m_world.workers().front(), true);
    const jobs::JobId job = fixture.submit(makeTasks(1), {100ms});
    cr_assert(fixture.completes(job, 8s));
    cr_assert_eq(fixture.runCount(job), 1);
    fixture.expectNoViolation();
}

Test(worker, zonePartitioned_itsIdleWorkersGetNoNewRuns)
{
    WorldFixture fixture;
    fixture.m_world.m_faults.m_partitionedZones.insert(fixture.zoneWithoutHolder());
    fixture.m_world.run(1s);
    // The other two zones have eight workers of eight accelerators.
    std::vector<jobs::JobId> gangs(4);
    for (jobs::JobId &gang : gangs) {
        fixture.submitThrough(fixture.m_world.holder(), makeGang(2, 8), {500ms}, 0, gang);
    }
    fixture.m_world.run(1500ms);
    for (const jobs::JobId &gang : gangs) {
        cr_assert_eq(fixture.m_world.stateOf(fixture.m_world.holder(), gang), jobs::JobState::Completed);
        cr_assert_eq(fixture.runCount(gang), 2);
    }
    fixture.expectNoViolation();
}

Test(worker, instancesOfAZoneGone_itsWorkersAreStillUsed)
{
    WorldFixture fixture;
    const int holder = fixture.m_world.holder();
    const fleet::ZoneId gone = fixture.zoneWithoutHolder();
    for (int instance = 0; instance < fixture.m_world.instanceCount(); ++instance) {
        if (fixture.m_world.zoneOf(instance) == gone) {
            fixture.m_world.kill(instance);
        }
    }
    fixture.m_world.run(1s);
    std::vector<jobs::JobId> gangs(6);
    for (jobs::JobId &gang : gangs) {
        fixture.submitThrough(holder, makeGang(2, 8), {500ms}, 0, gang);
    }
    // Long enough for all six in parallel, but not for one after another.
    fixture.m_world.run(900ms);
    for (const jobs::JobId &gang : gangs) {
        cr_assert_eq(fixture.m_world.stateOf(holder, gang), jobs::JobState::Completed);
    }
    fixture.expectNoViolation();
}

/// The holder shows a job as completed by a late end whose record is not stored.
Test(worker, runDoneWhileItsWorkerWasUnreachable_isShownAsCompletedOnlyOnceItIsStored)
{
    WorldFixture fixture;
    World &world = fixture.m_world;
    const jobs::JobId job = fixture.submit(makeTasks(1), {5s});
    world.run(1s);
    const fleet::WorkerId worker = fixture.runningWorker(job);
    world.m_faults.m_unreachableWorkers.insert(worker);
    cr_assert(world.runUntil(
        [&] {
            return fixture.runCount(job) > 1;
        },
        12s));
    const int holder = world.holder();
    world.m_faults.m_storeDelay = 100ms;
    world.m_faults.m_unreachableWorkers.clear();
    cr_assert(world.runUntil(
        [&] {
            return world.m_logCounts["dispatch/done-after-close"] > 0;
        },
        5s));
    // The record of the end is not stored yet, and is not stored at all.
    world.m_faults.m_store = StoreMode::Unresponsive;
    const int call = world.show(holder, job);
    world.run(10ms);
    const auto &reply = world.outcome(call).m_reply;
    cr_assert(!reply || reply->m_state != jobs::JobState::Completed, "the end is not stored");
}

/// Guards against acknowledgements that are repeated although each poll is answered: the next incarnation of the worker could take one for an end of
/// its own. The model made the holder repeat each one whose poll had waited.
Test(worker, pollWithAnAcknowledgementWaits_acknowledgementIsNotRepeated)
{
    WorldSettings settings;
    settings.m_zones = 1;
    settings.m_workersPerZone = 1;
    WorldFixture fixture(settings);
    const jobs::JobId longer = fixture.submit(makeTasks(1), {20s});
    const jobs::JobId shorter = fixture.submit(makeTasks(1), {300ms});
    cr_assert(fixture.completes(shorter, 3s));
    // Several polls, each of which waits.
    fixture.m_world.run(8s);
    cr_assert(fixture.isRunning(longer));
    const FleetModel &fleet = fixture.m_world.m_fleet;
    cr_assert_eq(fleet.m_workers.begin()->second.m_endsAcknowledged, 1U);
    cr_assert_eq(fleet.m_repeatedAcknowledgements, 0);
}

/// The holder launched another run of a task of which a worker had just reported a run that is not open.
Test(worker, lateRunOfATaskIsReported_taskStartsAgainOnlyAfterItsEnd)
{
    WorldSettings settings;
    settings.m_zones = 1;
    settings.m_workersPerZone = 1;
    settings.m_bounds.m_dispatch.m_stopGrace = 20s;
    WorldFixture fixture(settings);
    FleetModel &fleet = fixture.m_world.m_fleet;
    const jobs::JobId other = fixture.submit(makeTasks(1), {60s});
    const jobs::JobId job = fixture.submit(makeTasks(1), {200ms, true});
    cr_assert(fixture.m_world.runUntil(
        [&] {
            return fixture.endedRunCount(job, "failed") == 1;
        },
        3s));

    ModelWorker &worker = fleet.m_workers.begin()->second;
    const RunRecord failed = fleet.m_history.back();
    ModelRun late;
    late.m_step = makeTasks(1);
    late.m_isWorking = true;
    late.m_acceptedAt = late.m_workingSince = fixture.m_world.now();
    late.m_behaviour.m_duration = 30s;
    worker.m_running[failed.m_run] = late;
    fleet.m_history.push_back({failed.m_run, failed.m_incarnation, fixture.m_world.now()});
    cr_assert(fixture.m_world.runUntil(
        [&] {
            return fixture.runCount(job) == 3;
        },
        20s));
    cr_expect_eq(fixture.endedRunCount(job, "stopped"), 1);
    cr_expect(fixture.isRunning(other));
    fixture.expectNoViolation();
}
