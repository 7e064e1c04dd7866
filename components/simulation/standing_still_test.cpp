#include "components/simulation/world_fixture_test.hpp"

#include <chrono>
#include <string>

#include <criterion/criterion.h>

using namespace std::chrono_literals;
using namespace simulation;
using namespace simulation::test;

/// Steps that stand still on a fleet that is nearly idle.
struct StandingStillFixture : WorldFixture
{
    bool starts(jobs::JobId job, fleet::Duration limit)
    {
        return m_world.runUntil(
            [&] {
                return runCount(job) > 0;
            },
            limit);
    }

    /// Submits a gang that needs both workers of a rack, of which a task uses one for the given time, and waits until the gang holds a
    /// reservation. Returns the gang.
    jobs::JobId submitGangBehindATask(fleet::Duration length)
    {
        jobs::StepSpec blocking = makeTasks(1, 1);
        blocking.m_requiredLabel = rack;
        blocking.m_estimate = length;
        submit(blocking, {length}, 1);
        m_world.run(500ms);
        jobs::StepSpec gang = makeGang(2, 8);
        gang.m_requiredLabel = rack;
        const jobs::JobId job = submit(gang, {1s}, 1);
        m_world.run(3s);
        return job;
    }

    static constexpr const char *rack = "r0-0";
};

/// A best-effort task is kept off workers with a serving task, which it slows down; that is a preference, not a requirement.
Test(standingStill, servingTaskOnEachWorker_bestEffortTaskStarts)
{
    StandingStillFixture fixture;
    jobs::StepSpec serving = makeTasks(12, 0);
    serving.m_isLongRunning = true;
    serving.m_tailLatencyObjective = 100ms;
    serving.m_maxPerRunner = 1;
    const jobs::JobId servingJob = fixture.submit(serving, {60s}, 1);
    fixture.m_world.run(1s);
    cr_assert_eq(fixture.runCount(servingJob), 12);
    jobs::StepSpec bestEffort = makeTasks(1, 0);
    bestEffort.m_usesIdleProcessor = true;
    const jobs::JobId job = fixture.submit(bestEffort, {500ms}, 1);
    cr_assert(fixture.starts(job, 3s), "%s", fixture.m_world.m_lastLogLines["dispatch/waiting"].c_str());
}

/// A reservation behind a task that lasts would never be met and always be renewed.
Test(standingStill, gangHoldsAReservationBehindALastingTask_otherStepsStart)
{
    StandingStillFixture fixture;
    jobs::StepSpec lasting = makeTasks(1, 1);
    lasting.m_isLongRunning = true;
    lasting.m_requiredLabel = "r0-0";
    fixture.submit(lasting, {60s}, 1);
    fixture.m_world.run(500ms);
    jobs::StepSpec gang = makeGang(2, 8);
    gang.m_requiredLabel = "r0-0";
    fixture.submit(gang, {1s}, 1);
    fixture.m_world.run(3s);
    jobs::StepSpec small = makeTasks(1, 1);
    small.m_requiredLabel = "r0-0";
    const jobs::JobId job = fixture.submit(small, {500ms}, 1);
    cr_assert(fixture.starts(job, 3s), "%s", fixture.m_world.m_lastLogLines["dispatch/waiting"].c_str());
}

/// The reservation is renewed until the long task ends. Steps that are done before then may use its capacity.
Test(standingStill, gangHoldsAReservationBehindALongTask_otherStepsStart)
{
    StandingStillFixture fixture;
    fixture.submitGangBehindATask(20s);
    jobs::StepSpec small = makeTasks(1, 1);
    small.m_requiredLabel = StandingStillFixture::rack;
    const jobs::JobId job = fixture.submit(small, {500ms}, 1);
    cr_assert(fixture.starts(job, 3s), "%s", fixture.m_world.m_lastLogLines["dispatch/waiting"].c_str());
}

/// The other side of it: a step that would not be done in time leaves the reservation alone, so that the gang does not starve.
Test(standingStill, gangHoldsAReservationBehindALongTask_longStepsWaitForTheGang)
{
    StandingStillFixture fixture;
    const jobs::JobId waiting = fixture.submitGangBehindATask(6s);
    jobs::StepSpec lengthy = makeTasks(1, 1);
    lengthy.m_requiredLabel = StandingStillFixture::rack;
    lengthy.m_estimate = 20s;
    fixture.submit(lengthy, {20s}, 1);
    cr_assert(fixture.completes(waiting, 6s));
}
