#include "components/simulation/world_fixture_test.hpp"

#include <chrono>

#include <criterion/criterion.h>

using namespace std::chrono_literals;
using namespace simulation;
using namespace simulation::test;

namespace
{

/// Queue whose jobs need tickets of the advice service.
constexpr int advisedQueue = 3;

struct AdviceFixture : WorldFixture
{
    jobs::JobId submitAdvised(const jobs::StepSpec &step, const Behaviour &behaviour)
    {
        m_world.m_fleet.m_jobsNeedingTicket.insert(jobs::JobId {m_nextJob});
        return submit(step, behaviour, advisedQueue);
    }
};

}

Test(advice, fewWorkersPermitted_jobRunsOnThese)
{
    AdviceFixture fixture;
    const std::vector<fleet::WorkerId> workers = fixture.m_world.workers();
    fixture.m_world.m_fleet.m_permittedWorkers = {workers[3], workers[7]};
    const jobs::JobId job = fixture.submitAdvised(makeTasks(12), {500ms});
    cr_assert(fixture.completes(job, 3s));
    cr_assert_eq(fixture.runCount(job), 12);
    fixture.expectNoViolation();
}

Test(advice, gangOverSeveralPermittedWorkers_beginsWhole)
{
    AdviceFixture fixture;
    const std::vector<fleet::WorkerId> workers = fixture.m_world.workers();
    fixture.m_world.m_fleet.m_permittedWorkers = {workers[1], workers[4], workers[6], workers[9]};
    const jobs::JobId job = fixture.submitAdvised(makeGang(3, 8), {500ms});
    cr_assert(fixture.completes(job, 3s));
    cr_assert_eq(fixture.endedRunCount(job, "done"), 3);
    fixture.expectNoViolation();
}

Test(advice, ticketExpiredWhileWaitingForCapacity_isRequestedAgain)
{
    AdviceFixture fixture;
    const std::vector<fleet::WorkerId> workers = fixture.m_world.workers();
    fixture.m_world.m_fleet.m_permittedWorkers = {workers[0]};
    const jobs::JobId first = fixture.submitAdvised(makeTasks(8), {5s});
    fixture.m_world.run(500ms);
    const jobs::JobId second = fixture.submitAdvised(makeTasks(8), {500ms});
    cr_assert(fixture.completes(first, 7s));
    cr_assert(fixture.completes(second, 3s));
    fixture.expectNoViolation();
}

Test(advice, serviceUnavailable_jobStartsOnceItAnswers)
{
    AdviceFixture fixture;
    fixture.m_world.m_fleet.m_permittedWorkers = {fixture.m_world.workers().front()};
    fixture.m_world.m_faults.m_isAdviceUnavailable = true;
    const jobs::JobId job = fixture.submitAdvised(makeTasks(2), {300ms});
    fixture.m_world.run(6s);
    cr_assert_eq(fixture.runCount(job), 0);
    fixture.m_world.m_faults.m_isAdviceUnavailable = false;
    cr_assert(fixture.completes(job, 6s));
}
