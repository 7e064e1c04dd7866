#include "components/simulation/world_fixture_test.hpp"

#include <chrono>

#include <criterion/criterion.h>

using namespace std::chrono_literals;
using namespace simulation;
using namespace simulation::test;

namespace
{

/// Queue whose workers only the advice service knows.
constexpr int advisedQueue = 3;

struct AdviceFixture : WorldFixture
{
    jobs::JobId submitAdvised(const jobs::StepSpec &step, const Behaviour &behaviour)
    {
        m_world.m_fleet.m_advised.insert(jobs::JobId {m_nextJob});
        return submit(step, behaviour, advisedQueue);
    }
};

}

Test(advice, fewWorkersPermitted_jobRunsOnThese)
{
    AdviceFixture fixture;
    const std::vector<fleet::WorkerId> workers = fixture.m_world.workers();
    fixture.m_world.m_fleet.m_permitted = {workers[3], workers[7]};
    const jobs::JobId job = fixture.submitAdvised(tasksOf(12), {500ms});
    cr_assert(fixture.completes(job, 3s));
    cr_assert_eq(fixture.runsOf(job), 12);
    fixture.expectNoViolation();
}

Test(advice, gangOverSeveralPermittedWorkers_beginsWhole)
{
    AdviceFixture fixture;
    const std::vector<fleet::WorkerId> workers = fixture.m_world.workers();
    fixture.m_world.m_fleet.m_permitted = {workers[1], workers[4], workers[6], workers[9]};
    const jobs::JobId job = fixture.submitAdvised(gangOf(3, 8), {500ms});
    cr_assert(fixture.completes(job, 3s));
    cr_assert_eq(fixture.runsThatEnded(job, "done"), 3);
    fixture.expectNoViolation();
}

Test(advice, ticketExpiredWhileWaitingForRoom_isAskedForAgain)
{
    AdviceFixture fixture;
    const std::vector<fleet::WorkerId> workers = fixture.m_world.workers();
    fixture.m_world.m_fleet.m_permitted = {workers[0]};
    const jobs::JobId first = fixture.submitAdvised(tasksOf(8), {5s});
    fixture.m_world.run(500ms);
    const jobs::JobId second = fixture.submitAdvised(tasksOf(8), {500ms});
    cr_assert(fixture.completes(first, 7s));
    cr_assert(fixture.completes(second, 3s));
    fixture.expectNoViolation();
}

Test(advice, serviceAway_jobStartsOnceItIsBack)
{
    AdviceFixture fixture;
    fixture.m_world.m_fleet.m_permitted = {fixture.m_world.workers().front()};
    fixture.m_world.m_faults.m_isAdviceAway = true;
    const jobs::JobId job = fixture.submitAdvised(tasksOf(2), {300ms});
    fixture.m_world.run(6s);
    cr_assert_eq(fixture.runsOf(job), 0);
    fixture.m_world.m_faults.m_isAdviceAway = false;
    cr_assert(fixture.completes(job, 6s));
}
