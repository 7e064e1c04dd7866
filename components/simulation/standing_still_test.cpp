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
};

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
