#include "components/simulation/world_fixture_test.hpp"

#include <chrono>
#include <set>
#include <string>

#include <criterion/criterion.h>

using namespace std::chrono_literals;
using namespace simulation;
using namespace simulation::test;

Test(gang, allMembersPresent_isDoneTogether)
{
    WorldFixture fixture;
    const jobs::JobId job = fixture.submit(makeGang(5, 4), {1s});
    cr_assert(fixture.completes(job, 3s));
    cr_assert_eq(fixture.endedRunCount(job, "done"), 5);
}

Test(gang, memberOnAnUnresponsiveWorker_noMemberEndsAlone)
{
    WorldFixture fixture;
    const fleet::WorkerId unreachable = fixture.m_world.workers().front();
    fixture.m_world.m_faults.m_unreachableWorkers.insert(unreachable);
    const jobs::JobId job = fixture.submit(makeGang(12, 8), {500ms});
    fixture.m_world.run(4s);
    fixture.m_world.m_faults.m_unreachableWorkers.clear();
    cr_assert(fixture.completes(job, 12s));
    cr_assert_eq(fixture.endedRunCount(job, "alone"), 0);
    fixture.expectNoViolation();
}

Test(gang, stoppedWithACheckpoint_allMembersResumeFromIt)
{
    WorldFixture fixture;
    jobs::StepSpec step = makeGang(4, 8);
    step.m_writesCheckpoints = true;
    const jobs::JobId patient = fixture.submit(step, {6s}, 2);
    fixture.m_world.run(3s);
    const jobs::JobId urgent = fixture.submit(makeGang(12, 8), {500ms}, 0);
    cr_assert(fixture.completes(urgent, 4s));
    // Without the checkpoint the rest would take six seconds.
    cr_assert(fixture.completes(patient, 5s));
    fixture.expectNoViolation();
}

/// One member is stopped and writes a checkpoint; the others break with it and report their last regular one, which replaced the newer.
Test(gang, stoppedLongAfterItsLastCheckpoint_resumesFromTheOneWrittenAtTheStop)
{
    WorldFixture fixture;
    fixture.m_world.m_fleet.m_checkpointInterval = 20s;
    jobs::StepSpec step = makeGang(4, 8);
    step.m_writesCheckpoints = true;
    const jobs::JobId patient = fixture.submit(step, {8s}, 2);
    fixture.m_world.run(5s);
    const jobs::JobId urgent = fixture.submit(makeGang(9, 8), {500ms}, 0);
    cr_assert(fixture.completes(urgent, 4s));
    // The rest takes about three seconds, and eight from the beginning.
    cr_assert(fixture.completes(patient, 5s));
    fixture.expectNoViolation();
}

Test(gang, ofWholeWorkersAmongSmallTasks_isNotStarved)
{
    WorldSettings settings;
    settings.m_zones = 1;
    settings.m_workersPerZone = 8;
    settings.m_workersPerRack = 8;
    WorldFixture fixture(settings);
    for (int i = 0; i < 10; ++i) {
        fixture.submit(makeTasks(10), {700ms + i * 37ms}, 2);
    }
    const jobs::JobId gang = fixture.submit(makeGang(2, 8), {500ms}, 1);
    bool isDone = false;
    for (int i = 0; i < 60 && !isDone; ++i) {
        fixture.submit(makeTasks(10), {600ms + i * 13ms}, 2);
        fixture.m_world.run(100ms);
        isDone = fixture.m_world.stateOf(0, gang) == jobs::JobState::Completed;
    }
    cr_assert(isDone);
}

/// Small tasks of the lowest priority hold every accelerator, and those that become free are taken by the next of them. A gang of the
/// middle priority waited until its reservation was filled.
struct FullSiteFixture : WorldFixture
{
    explicit FullSiteFixture(bool writesCheckpoints)
        : WorldFixture(siteSettings())
    {
        jobs::StepSpec small = makeTasks(64);
        small.m_perTask = {1000, 1000, 1};
        small.m_writesCheckpoints = writesCheckpoints;
        m_small = submit(small, {12s}, 2);
        m_world.run(3s);
        m_gang = submit(makeGang(2, 8), {500ms}, 1);
    }

    static WorldSettings siteSettings()
    {
        WorldSettings settings;
        settings.m_zones = 1;
        settings.m_workersPerZone = 8;
        settings.m_workersPerRack = 8;
        return settings;
    }

    jobs::JobId m_small;
    jobs::JobId m_gang;
};

Test(gang, ofMiddlePriorityAmongTasksWithCheckpoints_takesTheirPlaceAfterAMoment)
{
    FullSiteFixture fixture(true);
    cr_assert(fixture.completes(fixture.m_gang, 2500ms));
    cr_assert_leq(fixture.endedRunCount(fixture.m_small, "stopped"), 16);
    fixture.expectNoViolation();
}

Test(gang, ofMiddlePriorityAmongTasksWithoutCheckpoints_doesNotThrowTheirWorkAway)
{
    FullSiteFixture fixture(false);
    fixture.m_world.run(3s);
    cr_assert_eq(fixture.endedRunCount(fixture.m_small, "stopped"), 0);
}

/// The workers that were reserved for the gang stand still, so that their runs never end. The gang waited for the end of its reservation,
/// although by then enough runs that lose little worked elsewhere.
Test(gang, ofMiddlePriorityWithAReservationThatIsNotMet_takesThePlaceOfOthers)
{
    WorldFixture fixture(FullSiteFixture::siteSettings());
    std::map<fleet::WorkerId, ModelWorker> &workers = fixture.m_world.m_fleet.m_workers;
    fixture.submit(makeTasks(48), {60s}, 2);
    fixture.m_world.run(300ms);
    for (auto &[id, worker] : workers) {
        worker.m_isHung = !worker.m_running.empty();
    }
    jobs::StepSpec withCheckpoints = makeTasks(8);
    withCheckpoints.m_writesCheckpoints = true;
    fixture.submit(withCheckpoints, {60s}, 2);
    for (int i = 0; i < 8; ++i) {
        fixture.submit(makeTasks(1), {1500ms + i * 100ms}, 2);
    }
    withCheckpoints.m_tasks = 64;
    fixture.submit(withCheckpoints, {60s}, 2);
    const jobs::JobId gang = fixture.submit(makeGang(2, 8), {500ms}, 1);
    cr_assert(fixture.completes(gang, 5s));
    fixture.expectNoViolation();
}

/// A rack of the world holds two workers.
struct OneRackFixture : WorldFixture
{
    /// A lasting task that takes one worker of each rack, or one that ends.
    void occupyAWorkerOfEachRack(fleet::Duration length, bool isLongRunning)
    {
        for (int zone = 0; zone < 3; ++zone) {
            for (int rack = 0; rack < 2; ++rack) {
                jobs::StepSpec step = makeTasks(1, 8);
                step.m_isLongRunning = isLongRunning;
                step.m_dataRack = "r" + std::to_string(zone) + '-' + std::to_string(rack);
                submit(step, {length}, 1);
            }
        }
    }

    std::set<fleet::RackId> racksOf(jobs::JobId job) const
    {
        std::set<fleet::RackId> racks;
        for (const RunRecord &run : m_world.m_fleet.m_history) {
            if (run.m_run.m_task.m_step.m_job == job) {
                racks.insert(m_world.m_fleet.m_workers.at(run.m_incarnation.m_worker).m_registration.m_rack);
            }
        }
        return racks;
    }

    static jobs::StepSpec makeOneRackGang(std::uint16_t count)
    {
        jobs::StepSpec step = makeGang(count, 8);
        step.m_prefersOneRack = true;
        return step;
    }
};

Test(gang, preferringOneRackAndLargerThanAnyRack_runsOnSeveral)
{
    OneRackFixture fixture;
    const jobs::JobId gang = fixture.submit(OneRackFixture::makeOneRackGang(3), {500ms}, 1);
    cr_assert(fixture.completes(gang, 4s));
    fixture.expectNoViolation();
}

Test(gang, preferringOneRackWhileNoRackIsFree_runsOnSeveral)
{
    OneRackFixture fixture;
    fixture.occupyAWorkerOfEachRack(60s, true);
    fixture.m_world.run(1s);
    const jobs::JobId gang = fixture.submit(OneRackFixture::makeOneRackGang(2), {500ms}, 1);
    cr_assert(fixture.completes(gang, 4s));
    fixture.expectNoViolation();
}

Test(gang, preferringOneRackWhileOneIsFreeSoon_waitsForIt)
{
    OneRackFixture fixture;
    fixture.occupyAWorkerOfEachRack(1500ms, false);
    fixture.m_world.run(500ms);
    const jobs::JobId gang = fixture.submit(OneRackFixture::makeOneRackGang(2), {500ms}, 1);
    cr_assert(fixture.completes(gang, 4s));
    cr_assert_eq(fixture.racksOf(gang).size(), 1);
    fixture.expectNoViolation();
}

/// The wait of a step begins with its turn, not with its job.
Test(gang, preferringOneRackInALaterStep_waitsForARackThatIsFreeSoon)
{
    OneRackFixture fixture;
    jobs::JobSpec spec;
    spec.m_id.m_value = 0x2000;
    spec.m_queue = fleet::QueueId("q1");
    spec.m_payload = "payload";
    spec.m_steps = {makeTasks(1), OneRackFixture::makeOneRackGang(2)};
    spec.m_steps[1].m_dependsOn = {0};
    fixture.m_world.submit(fixture.nonHolder(), spec, {3s});
    fixture.m_world.run(2s);
    fixture.occupyAWorkerOfEachRack(1700ms, false);
    cr_assert(fixture.completes(spec.m_id, 10s));
    std::set<fleet::RackId> racks;
    for (const RunRecord &run : fixture.m_world.m_fleet.m_history) {
        if (run.m_run.m_task.m_step == jobs::StepId {spec.m_id, 0, 1}) {
            racks.insert(fixture.m_world.m_fleet.m_workers.at(run.m_incarnation.m_worker).m_registration.m_rack);
        }
    }
    cr_assert_eq(racks.size(), 1);
}

Test(gang, preferringOneRackAndLargerThanAnyRack_takesThePlaceOfOthers)
{
    OneRackFixture fixture;
    fixture.submit(makeTasks(96), {20s}, 2);
    fixture.m_world.run(500ms);
    const jobs::JobId gang = fixture.submit(OneRackFixture::makeOneRackGang(3), {500ms}, 0);
    cr_assert(fixture.completes(gang, 4s));
    fixture.expectNoViolation();
}

/// Tasks of the same rank keep taking what is freed, so that the gang needs a reservation.
Test(gang, preferringOneRackAndLargerThanAnyRack_getsAReservation)
{
    OneRackFixture fixture;
    for (int i = 0; i < 12; ++i) {
        fixture.submit(makeTasks(24), {400ms}, 1);
    }
    const jobs::JobId gang = fixture.submit(OneRackFixture::makeOneRackGang(3), {500ms}, 1);
    fixture.m_world.run(1s);
    for (int i = 0; i < 60; ++i) {
        fixture.submit(makeTasks(24), {400ms}, 1);
    }
    cr_assert(fixture.completes(gang, 10s));
    fixture.expectNoViolation();
}

/// One member is done and the job complete; the run of the other, whose worker cannot be reached, ends later.
Test(gang, completedBeforeTheEndOfAnotherMemberIsKnown_staysCompletedAtTheHolder)
{
    WorldFixture fixture;
    const jobs::JobId gang = fixture.submit(makeGang(2, 8), {2s});
    fixture.m_world.run(1s);
    fixture.m_world.m_faults.m_unreachableWorkers.insert(fixture.runningWorker(gang));
    const int holder = fixture.m_world.holder();
    const bool isCompleted = fixture.m_world.runUntil(
        [&] {
            return fixture.endedRunCount(gang, "done") == 2;
        },
        3s);
    cr_assert(isCompleted);
    fixture.m_world.run(500ms);
    cr_assert(fixture.m_world.stateOf(holder, gang) == jobs::JobState::Completed);
    for (int i = 0; i < 4000; ++i) {
        fixture.m_world.run(2ms);
        cr_assert(fixture.m_world.stateOf(holder, gang) == jobs::JobState::Completed);
    }
}
