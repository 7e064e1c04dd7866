#include "components/simulation/world_fixture_test.hpp"

#include <chrono>

#include <criterion/criterion.h>

using namespace std::chrono_literals;
using namespace simulation;
using namespace simulation::test;

namespace
{

/// Limit of the deployment for making guaranteed capacity available.
constexpr fleet::Duration reclaimLimit = 2700ms;

/// Twelve workers of eight accelerators; each account is guaranteed sixteen.
struct GuaranteeFixture : WorldFixture
{
    bool starts(jobs::JobId job, fleet::Duration limit)
    {
        return m_world.runUntil(
            [&] {
                return isRunning(job);
            },
            limit);
    }
};

}

Test(guarantee, otherAccountUsesAllCapacity_isReclaimedInTime)
{
    GuaranteeFixture fixture;
    fixture.m_world.m_callerKey = "other-key";
    fixture.submit(makeTasks(96), {20s}, 0);
    fixture.m_world.run(300ms);
    fixture.m_world.m_callerKey = "key";
    const jobs::JobId guaranteed = fixture.submit(makeGang(2, 8), {1s}, 0);
    cr_assert(fixture.starts(guaranteed, reclaimLimit));
    cr_assert_eq(fixture.runCount(guaranteed), 2);
    fixture.expectNoViolation();
}

Test(guarantee, otherAccountWithinItsGuarantee_itsRunsAreNotStopped)
{
    GuaranteeFixture fixture;
    fixture.m_world.m_callerKey = "other-key";
    const jobs::JobId within = fixture.submit(makeTasks(16), {6s}, 0);
    fixture.m_world.run(300ms);
    fixture.m_world.m_callerKey = "key";
    const jobs::JobId large = fixture.submit(makeTasks(96), {6s}, 0);
    fixture.m_world.run(4s);
    cr_assert_eq(fixture.endedRunCount(within, "stopped"), 0);
    cr_assert_eq(fixture.endedRunCount(large, "stopped"), 0);
    fixture.expectNoViolation();
}

Test(guarantee, noRackHasCapacityForAOneRackGang_startsOnSeveralRacksInTime)
{
    GuaranteeFixture fixture;
    fixture.m_world.m_callerKey = "other-key";
    fixture.submit(makeTasks(96), {20s}, 0);
    fixture.m_world.run(300ms);
    fixture.m_world.m_callerKey = "key";
    jobs::StepSpec step = makeGang(16, 1);
    step.m_prefersOneRack = true;
    step.m_maxPerRunner = 4;
    const jobs::JobId guaranteed = fixture.submit(step, {1s}, 0);
    cr_assert(fixture.starts(guaranteed, reclaimLimit));
    cr_assert_eq(fixture.runCount(guaranteed), 16);
    fixture.expectNoViolation();
}

Test(longRunning, oneTaskMayBeUnavailable_noMoreAreStoppedAtOnce)
{
    GuaranteeFixture fixture;
    jobs::StepSpec longRunning = makeTasks(12, 8);
    longRunning.m_isLongRunning = true;
    longRunning.m_maxUnavailable = 1;
    const jobs::JobId serving = fixture.submit(longRunning, {1s}, 2);
    fixture.m_world.run(1s);
    cr_assert_eq(fixture.runCount(serving), 12);
    fixture.submit(makeGang(2, 8), {10s}, 0);
    fixture.m_world.run(3s);
    cr_assert_leq(fixture.endedRunCount(serving, "stopped"), 1);
}
