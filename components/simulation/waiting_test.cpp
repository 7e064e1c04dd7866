#include "components/simulation/world_fixture_test.hpp"

#include <chrono>
#include <string>

#include <criterion/criterion.h>

using namespace std::chrono_literals;
using namespace simulation;
using namespace simulation::test;

Test(waiting, stepThatStandsStill_isLoggedEachTwoSecondsWithTheReason)
{
    WorldFixture fixture;
    jobs::StepSpec step = makeTasks(2);
    step.m_requiredLabel = "label-of-no-worker";
    const jobs::JobId job = fixture.submit(step, {1s});
    fixture.m_world.run(7s);
    cr_assert_eq(fixture.m_world.m_logCounts["dispatch/waiting"], 3);
    const std::string &line = fixture.m_world.m_lastLogLines["dispatch/waiting"];
    cr_assert_neq(line.find(toString(job)), std::string::npos, "%s", line.c_str());
    cr_assert_neq(line.find("reason=no-worker"), std::string::npos, "%s", line.c_str());
    cr_assert_neq(line.find("tasks=2"), std::string::npos, "%s", line.c_str());
}

Test(waiting, stepsThatStart_areNotLogged)
{
    WorldFixture fixture;
    for (int i = 0; i < 20; ++i) {
        fixture.submit(makeTasks(4), {300ms});
    }
    fixture.m_world.run(3s);
    cr_assert_eq(fixture.m_world.m_logCounts["dispatch/waiting"], 0);
}

Test(waiting, manyStepsThatStandStill_eachIsLogged)
{
    constexpr int steps = 30;
    WorldFixture fixture;
    for (int i = 0; i < steps; ++i) {
        jobs::StepSpec step = makeTasks(1);
        step.m_requiredLabel = "label-of-no-worker";
        fixture.submit(step, {1s});
    }
    fixture.m_world.run(3800ms);
    cr_assert_geq(fixture.m_world.m_logCounts["dispatch/waiting"], steps);
    cr_assert_leq(fixture.m_world.m_logCounts["dispatch/waiting"], 2 * steps);
}
