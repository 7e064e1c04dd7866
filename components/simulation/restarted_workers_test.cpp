#include "components/simulation/world_fixture_test.hpp"

#include <algorithm>
#include <chrono>

#include <criterion/criterion.h>

using namespace std::chrono_literals;
using namespace simulation;
using namespace simulation::test;

namespace
{

struct StartedJob
{
    jobs::JobId m_job;
    fleet::WorkerId m_worker;
};

WorldSettings makeSettings(unsigned seed, int workers)
{
    WorldSettings settings;
    settings.m_seed = seed;
    settings.m_zones = 1;
    settings.m_workersPerZone = workers;
    return settings;
}

/// Submits a job of one task whose first start order is carried out and gets no answer.
StartedJob startWithoutAnswer(WorldFixture &fixture, const Behaviour &behaviour)
{
    StartedJob started;
    fixture.m_world.m_faults.m_unansweredOrders = 1;
    started.m_job = fixture.submit(makeTasks(1), behaviour);
    cr_assert(fixture.m_world.runUntil(
        [&] {
            return fixture.isRunning(started.m_job);
        },
        1s));
    fixture.m_world.m_faults.m_unansweredOrders = 0;
    started.m_worker = fixture.runningWorker(started.m_job);
    return started;
}

/// Cuts the worker off from the instances and from the store, so that nobody learns that it restarts.
void cutOff(WorldFixture &fixture, const fleet::WorkerId &worker)
{
    fixture.m_world.m_faults.m_unreachableWorkers.insert(worker);
    fixture.m_world.m_faults.m_workersCutFromStore.insert(worker);
}

void reconnectWorkers(WorldFixture &fixture)
{
    fixture.m_world.m_faults.m_unreachableWorkers.clear();
    fixture.m_world.m_faults.m_workersCutFromStore.clear();
}

/// Returns the order that starts this run again, as it may be carried out late. Its lease end is a time on the clock of an earlier
/// incarnation of the worker, which may be far ahead of that of the present one.
workers::StartOrder makeLateOrder(const WorldFixture &fixture, const RunRecord &run, const fleet::FencingToken &token)
{
    const ModelWorker &worker = fixture.m_world.m_fleet.m_workers.at(run.m_incarnation.m_worker);
    workers::StartOrder order;
    order.m_target = run.m_incarnation;
    order.m_address = worker.m_registration.m_address;
    order.m_run = run.m_run;
    order.m_leaseUntilMs = clockReading(worker, fixture.m_world.now()) + 3000;
    order.m_token = token;
    return order;
}

/// Lets new runs begin on this worker only, or on all of them again, and waits until the list has been read.
void useOnly(WorldFixture &fixture, const fleet::WorkerId &worker, bool isOnly)
{
    for (const fleet::WorkerId &other : fixture.m_world.workers()) {
        if (other != worker) {
            fixture.m_world.setDraining(other, isOnly);
        }
    }
    fixture.m_world.run(700ms);
}

}

/// Guards against a run that counts as lapsed by the clock of an earlier incarnation: the worker has restarted, which neither the list nor
/// a poll has shown yet, and a repeated start order was answered by the new incarnation, whose lease is a whole one by its own clock.
Test(restartedWorker, answersARepeatedStartBeforeItsRestartIsKnown_runIsNotGivenUp)
{
    for (fleet::Duration length {3000}; length <= fleet::Duration {7500}; length += fleet::Duration {100}) {
        WorldFixture fixture(makeSettings(1, 2));
        const StartedJob started = startWithoutAnswer(fixture, {20s});
        cutOff(fixture, started.m_worker);
        fixture.m_world.crashWorker(started.m_worker, true);
        fixture.m_world.run(length);
        reconnectWorkers(fixture);
        fixture.m_world.run(8s);
        cr_assert(fixture.m_world.m_fleet.m_violations.empty(),
                  "after a cut of %d ms: %s",
                  static_cast<int>(length.count()),
                  fixture.m_world.m_fleet.m_violations.front().c_str());
    }
}

/// Guards against a start order that is carried out after its run was given up. The worker has restarted behind a cut, so that its clock
/// does not show that the lease of the order is over.
Test(restartedWorker, carriesOutAnOrderAfterItsLeaseBehindACut_taskRunsOnce)
{
    for (unsigned seed = 1; seed <= 12; ++seed) {
        WorldFixture fixture(makeSettings(seed, 2));
        const fleet::WorkerId worker = fixture.m_world.workers().front();
        useOnly(fixture, worker, true);
        fixture.m_world.m_faults.m_delayedOrders = 1;
        const jobs::JobId job = fixture.submit(makeTasks(1), {20s});
        fixture.m_world.run(40ms);
        fixture.m_world.m_faults.m_delayedOrders = 0;
        cutOff(fixture, worker);
        fixture.m_world.crashWorker(worker, true);
        useOnly(fixture, worker, false);
        fixture.m_world.run(13s);
        reconnectWorkers(fixture);
        cr_assert(fixture.m_world.m_fleet.m_violations.empty(), "seed %u: %s", seed, fixture.m_world.m_fleet.m_violations.front().c_str());
        fixture.m_world.run(8s);
        cr_assert(fixture.isRunning(job), "seed %u", seed);
        fixture.expectNoViolation();
    }
}

/// Guards against a launch beside a run of the same task that the worker has just reported, and that goes on until its stop has taken effect.
Test(restartedWorker, reportsARunOfATaskThatIsNotOpen_taskIsNotLaunchedBeforeThatRunHasEnded)
{
    WorldFixture fixture(makeSettings(1, 2));
    World &world = fixture.m_world;
    const fleet::WorkerId worker = world.workers().front();
    useOnly(fixture, worker, true);
    const StartedJob started = startWithoutAnswer(fixture, {20s});
    const RunRecord first = world.m_fleet.m_history.back();
    const workers::StartOrder late = makeLateOrder(fixture, first, world.m_fleet.m_workers.at(worker).m_fencingToken);
    world.run(700ms);
    world.crashWorker(worker, true);
    cr_assert(world.runUntil(
        [&] {
            return fixture.runCount(started.m_job) == 2;
        },
        6s));
    useOnly(fixture, worker, false);
    world.crashWorker(worker, true);
    start(world.m_fleet, late, world.now());
    cr_assert_eq(fixture.runCount(started.m_job), 3);
    fixture.expectNoViolation();
    world.run(10s);
    fixture.expectNoViolation();
    cr_assert(fixture.isRunning(started.m_job));
}

/// Guards against a stop that counts for good although the worker forgets it with its next restart.
Test(restartedWorker, forgetsAStopWithItsNextRestart_lateOrderDoesNotRunBesideANewerRun)
{
    WorldFixture fixture(makeSettings(1, 2));
    World &world = fixture.m_world;
    const StartedJob started = startWithoutAnswer(fixture, {20s});
    const RunRecord first = world.m_fleet.m_history.back();
    const workers::StartOrder late = makeLateOrder(fixture, first, world.m_fleet.m_workers.at(started.m_worker).m_fencingToken);
    world.run(700ms);
    world.setDraining(started.m_worker, true);
    world.crashWorker(started.m_worker, true);
    // The stop is confirmed, and the task runs on the other worker, if it does before the order can no longer arrive.
    world.runUntil(
        [&] {
            return fixture.runCount(started.m_job) == 2;
        },
        4s);
    world.crashWorker(started.m_worker, true);
    start(world.m_fleet, late, world.now());
    world.run(20s);
    fixture.expectNoViolation();
    cr_assert(fixture.isRunning(started.m_job));
}

/// Guards against an acknowledgement that an earlier incarnation was to get: the next one takes it for an end of its own, forgets that end
/// before it was reported, and the task seems lost.
Test(restartedWorker, getsAnAcknowledgementOfItsEarlierIncarnation_endIsNotLost)
{
    WorldFixture fixture(makeSettings(1, 2));
    World &world = fixture.m_world;
    const jobs::JobId before = fixture.submit(makeTasks(1), {400ms});
    world.run(100ms);
    const fleet::WorkerId worker = fixture.runningWorker(before);
    cr_assert(world.runUntil(
        [&] {
            return fixture.endedRunCount(before, "done") == 1;
        },
        2s));
    // The poll with the acknowledgement of that end gets no answer and is still under way.
    world.m_faults.m_unansweredOrders = 1;
    world.run(300ms);
    world.m_faults.m_unansweredOrders = 0;
    workers::PollOrder late;
    late.m_target = world.m_fleet.m_workers.at(worker).m_registration.m_incarnation;
    late.m_address = world.m_fleet.m_workers.at(worker).m_registration.m_address;
    late.m_token = world.m_fleet.m_workers.at(worker).m_fencingToken;
    late.m_acknowledgedUpTo = 1;
    world.crashWorker(worker, true);
    world.run(1500ms);
    const jobs::JobId job = fixture.submit(makeTasks(1), {1s});
    cr_assert(world.runUntil(
        [&] {
            return fixture.endedRunCount(job, "done") == 1;
        },
        3s));
    poll(world.m_fleet, late, world.now());
    cr_assert(fixture.completes(job, 5s));
    cr_assert_eq(fixture.runCount(job), 1);
    fixture.expectNoViolation();
}

/// Guards against the same by a poll on time: the ends of the earlier incarnation are acknowledged again, since the first poll got no answer.
Test(restartedWorker, isPolledAgainBeforeItsRestartIsKnown_endIsNotLost)
{
    WorldFixture fixture(makeSettings(1, 2));
    World &world = fixture.m_world;
    jobs::JobSpec spec;
    spec.m_id.m_value = 1;
    spec.m_queue = fleet::QueueId("q1");
    spec.m_steps = {makeTasks(1), makeTasks(1)};
    spec.m_steps.back().m_dependsOn = {0};
    world.submit(fixture.nonHolder(), spec, {700ms});
    cr_assert(world.runUntil(
        [&] {
            return fixture.endedRunCount(spec.m_id, "done") == 1;
        },
        3s));
    const fleet::WorkerId worker = world.m_fleet.m_history.back().m_incarnation.m_worker;
    // The acknowledgement and the start of the second step get no answer.
    world.m_faults.m_unansweredOrders = 1;
    world.run(50ms);
    world.m_faults.m_unansweredOrders = 0;
    world.m_faults.m_workersCutFromStore.insert(worker);
    world.crashWorker(worker, true);
    world.run(6s);
    fixture.expectNoViolation();
    world.m_faults.m_workersCutFromStore.clear();
    cr_assert(fixture.completes(spec.m_id, 8s));
    fixture.expectNoViolation();
}

/// Guards against a lease that is taken for expired although a poll for the earlier incarnation, carried out late, has extended it.
Test(restartedWorker, getsALeaseOfItsEarlierIncarnation_runIsNotGivenUpBeforeIt)
{
    WorldFixture fixture(makeSettings(1, 2));
    World &world = fixture.m_world;
    const fleet::WorkerId worker = world.workers().front();
    useOnly(fixture, worker, true);
    const jobs::JobId job = fixture.submit(makeTasks(1), {30s});
    world.run(300ms);
    workers::PollOrder late;
    late.m_target = world.m_fleet.m_workers.at(worker).m_registration.m_incarnation;
    late.m_address = world.m_fleet.m_workers.at(worker).m_registration.m_address;
    late.m_token = world.m_fleet.m_workers.at(worker).m_fencingToken;
    late.m_leaseUntilMs = clockReading(world.m_fleet.m_workers.at(worker), world.now()) + 6000;
    world.m_faults.m_unansweredOrders = 1;
    world.run(1600ms);
    world.m_faults.m_unansweredOrders = 0;
    world.crashWorker(worker, true);
    cr_assert(world.runUntil(
        [&] {
            return fixture.runCount(job) == 2;
        },
        4s));
    useOnly(fixture, worker, false);
    world.m_faults.m_unreachableWorkers.insert(worker);
    world.run(4s);
    poll(world.m_fleet, late, world.now());
    world.run(10s);
    fixture.expectNoViolation();
    cr_assert_eq(fixture.runCount(job), 3);
}

/// Guards against a finished run that an order without an answer starts again while the store is out, so that no list shows the restart and
/// the holder sends no stop (issue 13).
Test(restartedWorker, restartsWhileTheStoreIsOut_orderOfAFinishedRunIsRefused)
{
    WorldFixture fixture(makeSettings(1, 2));
    World &world = fixture.m_world;
    const StartedJob started = startWithoutAnswer(fixture, {300ms});
    const RunRecord first = world.m_fleet.m_history.back();
    const workers::StartOrder late = makeLateOrder(fixture, first, world.m_fleet.m_workers.at(started.m_worker).m_fencingToken);
    cr_assert(fixture.completes(started.m_job, 3s));
    world.run(500ms);
    world.m_faults.m_store = StoreMode::Unresponsive;
    world.run(200ms);
    world.crashWorker(started.m_worker, true);
    world.run(2s);
    start(world.m_fleet, late, world.now());
    cr_assert_eq(fixture.runCount(started.m_job), 1);
    fixture.expectNoViolation();
}

/// Guards against the same before the holder can have reached the restarted worker: the end was acknowledged although a start order of the
/// run was still under way.
Test(restartedWorker, carriesOutAnOrderOfAFinishedRunAsItRestarts_endWasNotAcknowledged)
{
    WorldFixture fixture(makeSettings(1, 2));
    World &world = fixture.m_world;
    const StartedJob started = startWithoutAnswer(fixture, {300ms});
    const RunRecord first = world.m_fleet.m_history.back();
    const workers::StartOrder late = makeLateOrder(fixture, first, world.m_fleet.m_workers.at(started.m_worker).m_fencingToken);
    cr_assert(fixture.completes(started.m_job, 3s));
    world.run(500ms);
    world.crashWorker(started.m_worker, true);
    start(world.m_fleet, late, world.now());
    fixture.expectNoViolation();
    world.run(10s);
    fixture.expectNoViolation();
}

/// Guards against the lease of a first start order that is read by the clock of the incarnation before: nobody has seen the restart yet, the order
/// gets no answer, and the next incarnation gives it a whole lease.
Test(restartedWorker, carriesOutAFirstOrderBeforeItsRestartIsKnown_runIsNotGivenUpWithinAWholeLease)
{
    WorldFixture fixture(makeSettings(1, 2));
    World &world = fixture.m_world;
    const fleet::WorkerId worker = world.workers().front();
    useOnly(fixture, worker, true);
    world.m_faults.m_workersCutFromStore.insert(worker);
    world.crashWorker(worker, true);
    world.m_faults.m_unansweredOrders = 1;
    const jobs::JobId job = fixture.submit(makeTasks(1), {20s});
    cr_assert(world.runUntil(
        [&] {
            return fixture.isRunning(job);
        },
        1s));
    world.m_faults.m_unreachableWorkers.insert(worker);
    world.m_faults.m_unansweredOrders = 0;
    useOnly(fixture, worker, false);
    world.run(9s);
    fixture.expectNoViolation();
    cr_assert(fixture.isRunning(job));
}

/// Guards against a gang that is started anew since a start order was lost: the order is sent again only after the worker has been polled, and that poll
/// waits for the one that was waiting for an end on the worker. The holder gives a gang up after half of the time that its members wait.
Test(restartedWorker, startOfAMemberIsLostBesideAWaitingPoll_gangRunsOnce)
{
    for (fleet::Duration phase {0}; phase < fleet::Duration {1500}; phase += fleet::Duration {100}) {
        WorldFixture fixture(makeSettings(1, 2));
        World &world = fixture.m_world;
        // Two accelerators of each worker are taken, so that both are polled with a wait.
        const jobs::JobId first = fixture.submit(makeTasks(1, 5), {60s});
        const jobs::JobId second = fixture.submit(makeTasks(1, 5), {60s});
        cr_assert(world.runUntil(
            [&] {
                return fixture.isRunning(first) && fixture.isRunning(second);
            },
            1s));
        cr_assert_neq(fixture.runningWorker(first).value(), fixture.runningWorker(second).value());
        world.run(2s + phase);
        // The first order to start one of the members is lost.
        world.m_faults.m_unreachableWorkers.insert(fixture.runningWorker(second));
        const jobs::JobId gang = fixture.submit(makeGang(2, 3), {500ms});
        world.run(60ms);
        world.m_faults.m_unreachableWorkers.clear();
        world.runUntil(
            [&] {
                return fixture.isRunning(gang);
            },
            5s);
        cr_assert(fixture.completes(gang, 10s));
        cr_expect_eq(fixture.runCount(gang), 2, "phase %d: %d runs", static_cast<int>(phase.count()), fixture.runCount(gang));
        fixture.expectNoViolation();
    }
}

/// Guards against a finished run that an order of a former holder starts again: its successor does not know of the order, polls the idle worker
/// no more, and learns of its restart only from the list.
Test(restartedWorker, restartsUnderASuccessorWhileTheStoreIsOut_orderOfAFinishedRunIsRefused)
{
    WorldFixture fixture(makeSettings(1, 2));
    World &world = fixture.m_world;
    const StartedJob started = startWithoutAnswer(fixture, {300ms});
    const RunRecord first = world.m_fleet.m_history.back();
    const workers::StartOrder late = makeLateOrder(fixture, first, world.m_fleet.m_workers.at(started.m_worker).m_fencingToken);
    cr_assert(fixture.completes(started.m_job, 3s));
    world.kill(world.holder());
    cr_assert(fixture.waitForHolder(10s));
    world.run(1s);
    world.m_faults.m_store = StoreMode::Unresponsive;
    world.run(200ms);
    world.crashWorker(started.m_worker, true);
    world.run(2s);
    start(world.m_fleet, late, world.now());
    cr_assert_eq(fixture.runCount(started.m_job), 1);
    fixture.expectNoViolation();
}

/// Guards against a task that waits for good: its worker is lost while the launch is being stored, so that no start order is ever sent, and a run
/// without one does not lapse.
Test(restartedWorker, isLostWhileALaunchIsStored_taskRunsElsewhere)
{
    WorldFixture fixture(makeSettings(1, 2));
    World &world = fixture.m_world;
    const fleet::WorkerId worker = world.workers().front();
    useOnly(fixture, worker, true);
    // The worker is polled for another run while the store is out.
    fixture.submit(makeTasks(1, 1), {60s});
    fixture.submit(makeTasks(1, 7), {1s});
    const jobs::JobId job = fixture.submit(makeTasks(1, 7), {500ms});
    world.run(500ms);
    const int launched = world.m_logCounts["dispatch/launch"];
    world.m_faults.m_store = StoreMode::Unresponsive;
    cr_assert(world.runUntil(
        [&] {
            return world.m_logCounts["dispatch/launch"] > launched;
        },
        2s));
    world.m_faults.m_unreachableWorkers.insert(worker);
    world.run(2500ms);
    world.m_faults.m_store = StoreMode::Available;
    world.crashWorker(worker, false);
    useOnly(fixture, worker, false);
    cr_assert(fixture.completes(job, 60s));
    fixture.expectNoViolation();
}
