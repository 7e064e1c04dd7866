#include "components/simulation/world_fixture_test.hpp"

#include <algorithm>
#include <chrono>

#include <criterion/criterion.h>

using namespace std::chrono_literals;
using namespace simulation;
using namespace simulation::test;

namespace
{

/// One task is launched on m_worker; the other workers get no new runs until useOthers().
struct OneWorkerFixture : WorldFixture
{
    explicit OneWorkerFixture(unsigned seed = 1)
        : WorldFixture(settingsFor(seed))
    {
        chooseWorkerIn(m_world.zoneOf(m_world.holder()));
    }

    static WorldSettings settingsFor(unsigned seed)
    {
        WorldSettings settings;
        settings.m_seed = seed;
        return settings;
    }

    void chooseWorkerIn(const fleet::ZoneId &zone)
    {
        for (const fleet::WorkerId &worker : m_world.workers()) {
            if (model(worker).m_registration.m_zone == zone) {
                m_worker = worker;
            }
        }
        for (const fleet::WorkerId &worker : m_world.workers()) {
            m_world.setDraining(worker, worker != m_worker);
        }
        m_world.run(1s);
    }

    void useOthers()
    {
        for (const fleet::WorkerId &worker : m_world.workers()) {
            if (worker != m_worker) {
                m_world.setDraining(worker, false);
            }
        }
    }

    ModelWorker &model(const fleet::WorkerId &worker)
    {
        return m_world.m_fleet.m_workers.at(worker);
    }

    /// The worker starts again under its id, and nobody learns of it before it answers.
    void restartUnnoticed()
    {
        crash(m_world.m_fleet, m_worker, true, m_world.now());
    }

    bool waitForRuns(jobs::JobId job, int count, fleet::Duration limit)
    {
        for (fleet::Duration waited {0}; waited < limit && runCount(job) < count; waited += 1ms) {
            m_world.run(1ms);
        }
        return runCount(job) >= count;
    }

    jobs::JobId submitUntilLaunched(const Behaviour &behaviour)
    {
        const int launches = m_world.m_logCounts["dispatch/launch"];
        const jobs::JobId job = submit(makeTasks(1), behaviour);
        for (fleet::Duration waited {0}; waited < 100ms && m_world.m_logCounts["dispatch/launch"] == launches; waited += 1ms) {
            m_world.run(1ms);
        }
        return job;
    }

    /// Submits a job of one task, and returns while the first order to start it is on its way, 1 ms before it arrives.
    jobs::JobId submitUntilStartIsSent(const Behaviour &behaviour)
    {
        const jobs::JobId job = submitUntilLaunched(behaviour);
        // The launch is stored first: the store's time and the way there and back.
        m_world.run(6ms);
        cr_assert_eq(runCount(job), 0);
        return job;
    }

    /// Ends the holder while only the given instance is served by the store, so that it takes the duty.
    void makeHolder(int instance)
    {
        m_world.run(200ms);
        for (int i = 0; i < m_world.instanceCount(); ++i) {
            if (i != instance) {
                m_world.m_faults.m_cutFromStore.insert(i);
            }
        }
        m_world.kill(m_world.holder());
        cr_assert(m_world.runUntil(
            [&] {
                return m_world.holder() == instance;
            },
            3s));
        m_world.m_faults.m_cutFromStore.clear();
    }

    /// Cuts off the zone of the worker: from the other zones, and its instances from the store.
    void cutOffZone()
    {
        const fleet::ZoneId zone = model(m_worker).m_registration.m_zone;
        m_world.m_faults.m_partitionedZones.insert(zone);
        for (int i = 0; i < m_world.instanceCount(); ++i) {
            if (m_world.zoneOf(i) == zone) {
                m_world.m_faults.m_cutFromStore.insert(i);
            }
        }
    }

    fleet::WorkerId m_worker;
};

}

/// A start order grants 3 s by the clock of the life that was known. A later life, whose clock began anew, shortens that to the longest
/// lease, 6 s, so that the run outlived the time at which it was given up.
Test(doubleRun, workerRestartsUnnoticedBeforeAStartAndIsCutOffAfterIt_runIsNotGivenUpWhileItWorks)
{
    OneWorkerFixture fixture;
    fixture.m_world.run(6s);
    fixture.restartUnnoticed();
    const jobs::JobId job = fixture.submitUntilStartIsSent({20s});
    fixture.m_world.m_faults.m_unreachableWorkers.insert(fixture.m_worker);
    fixture.m_world.run(1ms);
    cr_assert(fixture.isRunning(job));
    fixture.useOthers();
    fixture.m_world.run(8s);
    cr_assert_eq(fixture.runCount(job), 2);
    fixture.expectNoViolation();
}

/// The run was launched before the worker restarted, and its start order was carried out afterwards. The former holder, cut off with the
/// worker, renews the lease while it has authority. Its successor learned of the restart from the list and gave the run up one lease later.
Test(doubleRun, holderCutOffWithAWorkerThatHasRestarted_successorWaitsForTheEndOfItsAuthority)
{
    OneWorkerFixture fixture;
    const jobs::JobId job = fixture.submitUntilStartIsSent({30s});
    fixture.m_world.crashWorker(fixture.m_worker, true);
    fixture.m_world.run(1ms);
    cr_assert(fixture.isRunning(job));
    fixture.m_world.run(1s);
    cr_assert(fixture.isRunning(job));
    const int before = fixture.m_world.holder();
    fixture.cutOffZone();
    fixture.useOthers();
    fixture.m_world.run(13s);
    cr_assert_neq(fixture.m_world.holder(), before);
    cr_assert_eq(fixture.runCount(job), 2);
    fixture.expectNoViolation();
}

/// The first record of a process that had been killed was stored seconds later, after that of the next process of the same instance. It was
/// taken for a proof that the next process, which held the duty, had ended, so that its successor did not wait for its authority to end.
Test(doubleRun, startOfAnEarlierProcessIsRecordedLate_successorWaitsForTheEndOfTheHoldersAuthority)
{
    for (unsigned seed = 1; seed <= 10; ++seed) {
        OneWorkerFixture fixture(seed);
        World &world = fixture.m_world;
        const int first = world.holder();
        const int next = fixture.nonHolder();
        fixture.chooseWorkerIn(world.zoneOf(next));
        world.kill(next);
        world.m_faults.m_unansweredAppends = 1;
        world.m_faults.m_unansweredAppendsAreDelayed = true;
        world.restart(next);
        world.run(30ms);
        world.m_faults = Faults();
        world.kill(next);
        world.restart(next);
        fixture.makeHolder(next);
        world.restart(first);
        world.run(150ms);
        const jobs::JobId job = fixture.submit(makeTasks(1), {30s});
        cr_assert(fixture.waitForRuns(job, 1, 500ms));
        fixture.cutOffZone();
        fixture.useOthers();
        world.run(13s);
        cr_assert_neq(world.holder(), next);
        cr_assert_eq(fixture.runCount(job), 2);
        const std::vector<std::string> &violations = world.m_fleet.m_violations;
        cr_expect(violations.empty(), "seed %u: %s", seed, violations.empty() ? "" : violations.front().c_str());
    }
}

/// A start order was repeated to a worker that was down, with the lease end of the first one. The next life of the worker carried it out with
/// a lease of its own, and the run was given up when the old lease end passed, although it had just been answered.
Test(doubleRun, workerRestartsWhileAStartIsRepeated_runIsNotGivenUpByTheClockOfTheEarlierLife)
{
    for (fleet::Duration down {3000}; down < 5s; down += 50ms) {
        OneWorkerFixture fixture;
        fixture.m_world.run(700ms);
        fixture.submitUntilLaunched({20s});
        fixture.m_world.m_faults.m_unreachableWorkers.insert(fixture.m_worker);
        fixture.useOthers();
        fixture.m_world.run(down);
        fixture.m_world.crashWorker(fixture.m_worker, true);
        fixture.m_world.m_faults.m_unreachableWorkers.clear();
        fixture.m_world.run(3s);
        const std::vector<std::string> &violations = fixture.m_world.m_fleet.m_violations;
        cr_expect(violations.empty(), "down for %d ms: %s", static_cast<int>(down.count()), violations.empty() ? "" : violations.front().c_str());
    }
}

/// A worker ends numbers anew when it restarts. An acknowledgement that its earlier life had not answered was repeated to the next one, which
/// forgot an end that nobody had read, so that the task ran again.
Test(doubleRun, workerRestartsWhileAnAcknowledgementIsRepeated_endOfTheNextLifeIsNotForgotten)
{
    for (fleet::Duration down {500}; down < 2s; down += 20ms) {
        OneWorkerFixture fixture;
        World &world = fixture.m_world;
        const jobs::StepSpec whole = makeTasks(1, 8);
        const jobs::JobId first = fixture.submit(whole, {1s});
        cr_assert(fixture.waitForRuns(first, 1, 500ms));
        fixture.submit(whole, {100ms});
        world.m_faults.m_storeDelay = 100ms;
        const int launches = world.m_logCounts["dispatch/launch"];
        for (fleet::Duration waited {0}; waited < 2s && world.m_logCounts["dispatch/launch"] == launches; waited += 1ms) {
            world.run(1ms);
        }
        // The acknowledgement and the start are sent together once the store has answered.
        world.m_faults.m_unreachableWorkers.insert(fixture.m_worker);
        world.run(down);
        world.crashWorker(fixture.m_worker, true);
        world.m_faults = Faults();
        world.run(4s);
        const std::vector<std::string> &violations = world.m_fleet.m_violations;
        cr_expect(violations.empty(), "down for %d ms: %s", static_cast<int>(down.count()), violations.empty() ? "" : violations.front().c_str());
    }
}

/// The former holder's order was carried out by the next life of a worker that nobody reaches, after the run had been given up.
Test(doubleRun, lateOrderOfAFormerHolderReachesAWorkerThatHasRestartedAndIsCutOff_runIsNotStartedElsewhere)
{
    OneWorkerFixture fixture;
    World &world = fixture.m_world;
    const jobs::JobId job = fixture.submitUntilLaunched({20s});
    world.m_faults.m_delayedOrders = 1;
    world.run(7ms);
    world.m_faults.m_delayedOrders = 0;
    world.m_faults.m_unreachableWorkers.insert(fixture.m_worker);
    world.kill(world.holder());
    fixture.useOthers();
    world.run(200ms);
    fixture.restartUnnoticed();
    world.run(20s);
    cr_assert_eq(fixture.runCount(job), 2);
    fixture.expectNoViolation();
}

/// A lease never shortens: that of the former holder, for a run that is over, still holds for the first run that the successor starts there. The
/// successor, whose first poll had no answer, knew of no lease on a worker without open runs, and gave the run up when its own had ended.
Test(doubleRun, workerIsCutOffAfterTheSuccessorsFirstStart_successorWaitsForTheFormerHoldersLease)
{
    OneWorkerFixture fixture;
    World &world = fixture.m_world;
    const jobs::JobId before = fixture.submit(makeTasks(1), {2500ms});
    cr_assert(fixture.completes(before, 4s));
    world.m_faults.m_delayedPolls = 1;
    fixture.makeHolder(fixture.nonHolder());
    const jobs::JobId job = fixture.submit(makeTasks(1), {30s});
    cr_assert(fixture.waitForRuns(job, 1, 500ms));
    world.run(5ms);
    world.m_faults.m_delayedPolls = 0;
    world.m_faults.m_unreachableWorkers.insert(fixture.m_worker);
    fixture.useOthers();
    world.run(13s);
    cr_assert_eq(fixture.runCount(job), 2);
    fixture.expectNoViolation();
}
