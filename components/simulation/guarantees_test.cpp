#include "components/simulation/world_fixture_test.hpp"

#include <chrono>

#include <criterion/criterion.h>

using namespace std::chrono_literals;
using namespace simulation;
using namespace simulation::test;

namespace
{

/// The bound of the deployment for guaranteed capacity.
constexpr fleet::Duration reclaimLimit = 2700ms;

/// Twelve workers of eight accelerators; each account is guaranteed sixteen.
struct GuaranteeFixture : WorldFixture
{
    bool begins(jobs::JobId job, fleet::Duration limit)
    {
        return m_world.runUntil(
            [&] {
                return isRunning(job);
            },
            limit);
    }
};

}

Test(guarantee, othersUseEverythingWithUrgentJobs_isReclaimedInTime)
{
    GuaranteeFixture fixture;
    fixture.m_world.m_callerKey = "other-key";
    fixture.submit(tasksOf(96), {20s}, 0);
    fixture.m_world.run(300ms);
    fixture.m_world.m_callerKey = "key";
    const jobs::JobId owed = fixture.submit(gangOf(2, 8), {1s}, 0);
    cr_assert(fixture.begins(owed, reclaimLimit));
    cr_assert_eq(fixture.runsOf(owed), 2);
    fixture.expectNoViolation();
}

Test(guarantee, othersAreWithinTheirs_nothingOfThemIsStopped)
{
    GuaranteeFixture fixture;
    fixture.m_world.m_callerKey = "other-key";
    const jobs::JobId within = fixture.submit(tasksOf(16), {6s}, 0);
    fixture.m_world.run(300ms);
    fixture.m_world.m_callerKey = "key";
    const jobs::JobId large = fixture.submit(tasksOf(96), {6s}, 0);
    fixture.m_world.run(4s);
    cr_assert_eq(fixture.runsThatEnded(within, "stopped"), 0);
    cr_assert_eq(fixture.runsThatEnded(large, "stopped"), 0);
    fixture.expectNoViolation();
}

Test(guarantee, noRackHasRoomForAGangThatWantsOne_itBeginsOnSeveralInTime)
{
    GuaranteeFixture fixture;
    fixture.m_world.m_callerKey = "other-key";
    fixture.submit(tasksOf(96), {20s}, 0);
    fixture.m_world.run(300ms);
    fixture.m_world.m_callerKey = "key";
    jobs::StepSpec step = gangOf(16, 1);
    step.m_prefersOneRack = true;
    step.m_maxPerRunner = 4;
    const jobs::JobId owed = fixture.submit(step, {1s}, 0);
    cr_assert(fixture.begins(owed, reclaimLimit));
    cr_assert_eq(fixture.runsOf(owed), 16);
    fixture.expectNoViolation();
}

Test(lasting, stepMayMissOne_noMoreAreStoppedAtOnce)
{
    GuaranteeFixture fixture;
    jobs::StepSpec lasting = tasksOf(12, 8);
    lasting.m_isLongRunning = true;
    lasting.m_maxUnavailable = 1;
    const jobs::JobId serving = fixture.submit(lasting, {1s}, 2);
    fixture.m_world.run(1s);
    cr_assert_eq(fixture.runsOf(serving), 12);
    fixture.submit(gangOf(2, 8), {10s}, 0);
    fixture.m_world.run(3s);
    cr_assert_leq(fixture.runsThatEnded(serving, "stopped"), 1);
}
