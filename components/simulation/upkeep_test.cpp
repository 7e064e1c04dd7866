#include "components/simulation/world_fixture_test.hpp"

#include <algorithm>
#include <chrono>

#include <criterion/criterion.h>

using namespace std::chrono_literals;
using namespace simulation;
using namespace simulation::test;

namespace
{

constexpr std::uint64_t number = 4;

struct UpkeepFixture : WorldFixture
{
    /// Requests the upkeep of the first `count` machines.
    void requestUpkeep(std::size_t count, std::uint32_t mostAtOnce, fleet::Duration within)
    {
        catalog::UpkeepWave wave;
        wave.m_number = number;
        for (std::size_t i = 0; i < count; ++i) {
            wave.m_machines.push_back(m_world.m_fleet.m_workers.at(m_world.workers()[i]).m_registration.m_machine);
        }
        wave.m_maxConcurrent = mostAtOnce;
        wave.m_duration = within;
        m_world.requestUpkeep(wave);
    }

    bool isCompleted(fleet::Duration limit)
    {
        return m_world.runUntil(
            [&] {
                return m_world.m_machines.m_reportedCompletion[number];
            },
            limit);
    }
};

}

Test(upkeep, waveOfSixTwoAtOnce_isCompletedInTimeWithinItsLimit)
{
    UpkeepFixture fixture;
    fixture.requestUpkeep(6, 2, 20s);
    cr_assert(fixture.isCompleted(20s));
    cr_assert_eq(fixture.m_world.m_machines.m_startedUpkeeps[number].size(), 6U);
    cr_assert_eq(fixture.m_world.m_machines.m_maxMachinesDown, 2U);
    cr_assert_eq(fixture.m_world.m_machines.m_falseReports, 0);
}

Test(upkeep, runThatEndsSoon_isLeftToEnd)
{
    UpkeepFixture fixture;
    const jobs::JobId job = fixture.submit(makeTasks(96), {1500ms});
    fixture.m_world.run(200ms);
    fixture.requestUpkeep(2, 1, 30s);
    cr_assert(fixture.isCompleted(30s));
    cr_assert(fixture.completes(job, 5s));
    cr_assert_eq(fixture.runCount(job), 96);
}

Test(upkeep, answersLostAndHolderKilled_limitIsKeptAndCompletionNotReportedEarly)
{
    UpkeepFixture fixture;
    fixture.m_world.m_faults.m_unansweredUpkeeps = 0.5;
    fixture.requestUpkeep(8, 2, 40s);
    fixture.m_world.run(7s);
    fixture.m_world.kill(fixture.m_world.holder());
    cr_assert(fixture.waitForHolder(2s));
    fixture.m_world.run(4s);
    fixture.m_world.kill(fixture.m_world.holder());
    cr_assert(fixture.isCompleted(40s));
    cr_assert_leq(fixture.m_world.m_machines.m_maxMachinesDown, 2U);
    cr_assert_eq(fixture.m_world.m_machines.m_falseReports, 0);
    fixture.expectNoViolation();
}

Test(upkeep, longRunningStepMayMissOneTask_neverMissesMore)
{
    UpkeepFixture fixture;
    jobs::StepSpec longRunning = makeTasks(4, 8);
    longRunning.m_isLongRunning = true;
    longRunning.m_maxUnavailable = 1;
    const jobs::JobId serving = fixture.submit(longRunning, {1s});
    fixture.m_world.run(1s);
    fixture.requestUpkeep(12, 4, 60s);
    bool isAlwaysKept = true;
    for (int i = 0; i < 600; ++i) {
        fixture.m_world.run(100ms);
        int running = 0;
        for (const RunRecord &run : fixture.m_world.m_fleet.m_history) {
            running += run.m_endedAt == fleet::BootTime::max() && run.m_run.m_task.m_step.m_job == serving ? 1 : 0;
        }
        isAlwaysKept = isAlwaysKept && running >= 3;
    }
    cr_assert(isAlwaysKept);
    cr_assert(fixture.m_world.m_machines.m_reportedCompletion[number]);
}

/// The copy has no runs: its machine counted as empty and was taken down at once, which ended the tasks on it.
Test(upkeep, copyOfAnEntryUnderAnotherId_theRunsOnTheMachineAreLeftToEnd)
{
    UpkeepFixture fixture;
    for (const fleet::WorkerId &worker : fixture.m_world.workers()) {
        workers::Registration copy = fixture.m_world.m_fleet.m_workers.at(worker).m_registration;
        copy.m_incarnation.m_worker = fleet::WorkerId("a-" + worker.value());
        fixture.m_world.writeEntry({copy.m_incarnation.m_worker, copy});
    }
    fixture.m_world.run(3s);
    const jobs::JobId job = fixture.submit(makeTasks(96), {1500ms});
    fixture.m_world.run(500ms);
    fixture.requestUpkeep(2, 1, 30s);
    cr_assert(fixture.isCompleted(30s));
    cr_assert(fixture.completes(job, 5s));
    cr_assert_eq(fixture.runCount(job), 96);
    cr_assert_eq(fixture.m_world.m_machines.m_falseReports, 0);
}

/// The successor did not know of the order: it gave the machine new runs, took another one down, and then the order was carried out.
Test(upkeep, orderCarriedOutAfterItsHolderHasStopped_limitIsKeptAndNoRunIsCutOff)
{
    for (int delay = 3500; delay <= 12'000; delay += 500) {
        UpkeepFixture fixture;
        fixture.m_world.m_faults.m_unansweredUpkeeps = 1;
        fixture.m_world.m_faults.m_upkeepDelay = fleet::Duration(delay);
        fixture.requestUpkeep(12, 1, 120s);
        const bool isOrdered = fixture.m_world.runUntil(
            [&] {
                return fixture.m_world.m_logCounts["upkeep/ordered"] > 0;
            },
            8s);
        cr_assert(isOrdered);
        fixture.m_world.requestStop(fixture.m_world.holder());
        fixture.m_world.m_faults.m_unansweredUpkeeps = 0;
        cr_assert(fixture.waitForHolder(2s));
        // The rack of the machine that is ordered down is the one whose machines have runs.
        jobs::StepSpec inItsRack = makeTasks(12, 8);
        inItsRack.m_requiredLabel = fixture.m_world.m_fleet.m_workers.at(fixture.m_world.workers().front()).m_registration.m_rack.value();
        const jobs::JobId job = fixture.submit(inItsRack, {30s});
        fixture.m_world.run(fleet::Duration(delay));
        cr_assert_eq(fixture.m_world.m_machines.m_maxMachinesDown, 1U, "after a delay of %d ms", delay);
        cr_assert_eq(fixture.endedRunCount(job, "crashed"), 0, "after a delay of %d ms", delay);
    }
}

/// The next holder orders the machines again that the earlier one had ordered, and they answer: nothing is waited for.
Test(upkeep, holderChangesWithinAWave_machinesThatAreBackDoNotDelayIt)
{
    UpkeepFixture fixture;
    fixture.requestUpkeep(12, 2, 120s);
    const bool areFourBack = fixture.m_world.runUntil(
        [&] {
            return fixture.m_world.m_machines.m_startedUpkeeps[number].size() == 4U && fixture.m_world.m_machines.m_machinesDown.empty();
        },
        30s);
    cr_assert(areFourBack);
    fixture.m_world.kill(fixture.m_world.holder());
    cr_assert(fixture.waitForHolder(2s));
    // A holder sends no upkeep order in its first 3 s.
    const bool goesOn = fixture.m_world.runUntil(
        [&] {
            return fixture.m_world.m_machines.m_startedUpkeeps[number].size() > 4U;
        },
        4500ms);
    cr_assert(goesOn);
    cr_assert(fixture.isCompleted(60s));
    cr_assert_eq(fixture.m_world.m_machines.m_maxMachinesDown, 2U);
}

/// The start of the worker was noted at the first order, so the machine counted as back at once and the next one was taken down beside it.
Test(upkeep, workerRestartsBeforeTheOrderIsAccepted_machineCountsAsDownUntilItIsBack)
{
    UpkeepFixture fixture;
    fixture.m_world.m_faults.m_areUpkeepsRefused = true;
    fixture.requestUpkeep(3, 1, 60s);
    const bool isRefused = fixture.m_world.runUntil(
        [&] {
            return fixture.m_world.m_logCounts["upkeep/ordered"] > 0;
        },
        8s);
    cr_assert(isRefused);
    for (std::size_t i = 0; i < 3; ++i) {
        fixture.m_world.crashWorker(fixture.m_world.workers()[i], true);
    }
    fixture.m_world.run(1s);
    fixture.m_world.m_faults.m_areUpkeepsRefused = false;
    cr_assert(fixture.isCompleted(60s));
    cr_assert_eq(fixture.m_world.m_machines.m_maxMachinesDown, 1U);
}

/// After an outage of the store in which the entries expire, machines counted as empty and two were taken down with a task at work on each.
Test(upkeep, entriesOfItsWorkersExpire_theRunsOnTheMachinesKeepTheirLimits)
{
    UpkeepFixture fixture;
    jobs::StepSpec longRunning = makeTasks(12, 8);
    longRunning.m_isLongRunning = true;
    longRunning.m_maxUnavailable = 1;
    const jobs::JobId serving = fixture.submit(longRunning, {1s});
    fixture.m_world.run(2s);
    cr_assert_eq(fixture.runCount(serving), 12);
    for (const fleet::WorkerId &worker : fixture.m_world.workers()) {
        fixture.m_world.unlist(worker);
    }
    fixture.m_world.run(1s);
    fixture.requestUpkeep(2, 2, 60s);
    fixture.m_world.run(1500ms);
    cr_assert_eq(fixture.m_world.m_machines.m_maxMachinesDown, 0U, "no run was stopped before its machine was taken down");
    for (const fleet::WorkerId &worker : fixture.m_world.workers()) {
        fixture.m_world.relist(worker);
    }
    int mostAway = 0;
    for (int i = 0; i < 200; ++i) {
        fixture.m_world.run(100ms);
        int running = 0;
        for (const RunRecord &run : fixture.m_world.m_fleet.m_history) {
            running += run.m_endedAt == fleet::BootTime::max() && run.m_run.m_task.m_step.m_job == serving ? 1 : 0;
        }
        mostAway = std::max(mostAway, 12 - running);
    }
    cr_assert_leq(mostAway, 1);
    cr_assert_eq(fixture.endedRunCount(serving, "crashed"), 0);
}
