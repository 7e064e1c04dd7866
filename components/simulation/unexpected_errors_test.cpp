#include "components/simulation/world_fixture_test.hpp"

#include <chrono>

#include <criterion/criterion.h>

using namespace std::chrono_literals;
using namespace simulation;
using namespace simulation::test;

Test(unexpectedError, onTheNetworkThread_isLoggedAndTheHolderStays)
{
    WorldFixture fixture;
    const int holder = fixture.m_world.holder();
    fixture.m_world.failTraffic(holder);
    fixture.m_world.run(1s);
    cr_assert_eq(fixture.m_world.m_logCounts["node/unexpected-error"], 1);
    cr_assert(fixture.m_world.m_lastLogLines["node/unexpected-error"].ends_with("where=traffic reason=\"no such member\""),
              "%s",
              fixture.m_world.m_lastLogLines["node/unexpected-error"].c_str());
    cr_assert_eq(fixture.m_world.holder(), holder);
    cr_assert_eq(fixture.m_world.m_logCounts["duty/hold"], 1);
}
