#include "components/dispatch/placing.hpp"

#include "components/catalog/queue.hpp"
#include "components/dispatch/candidate.hpp"
#include "components/dispatch/worker_state.hpp"
#include "components/jobs/step_spec.hpp"

#include <array>
#include <chrono>
#include <string>

#include <criterion/criterion.h>

namespace
{

using namespace std::chrono_literals;

constexpr fleet::BootTime now {100s};

/// Six idle workers of one rack with eight accelerators each, and a gang whose tasks need eight each.
struct RackFixture
{
    RackFixture()
    {
        for (std::size_t i = 0; i < m_workers.size(); ++i) {
            workers::Registration &registration = m_workers[i].m_registration;
            registration.m_incarnation.m_worker = fleet::WorkerId("w" + std::to_string(i));
            registration.m_rack = fleet::RackId("r");
            registration.m_capacity = {32'000, 64'000, 8};
        }
        m_spec.m_perTask = {1000, 1000, 8};
        m_spec.m_isGang = true;
        m_candidate.m_spec = &m_spec;
        m_candidate.m_queue = &m_queue;
        m_candidate.m_perTask = m_spec.m_perTask;
        m_candidate.m_requiresOneRack = true;
    }

    dispatch::Placement choose(std::size_t tasks)
    {
        m_spec.m_tasks = static_cast<std::uint16_t>(tasks);
        m_candidate.m_tasks.resize(tasks);
        m_availableWorkers.clear();
        for (dispatch::WorkerState &worker : m_workers) {
            m_availableWorkers.push_back({&worker, worker.m_registration.m_capacity, {}});
            m_availableWorkers.back().m_isOnProbation = worker.m_consecutiveFailures > 0;
            m_availableWorkers.back().m_speedClass = m_speedClasses[&worker - m_workers.data()];
        }
        return dispatch::choosePlacement(m_candidate, m_availableWorkers, now);
    }

    bool isChosen(const dispatch::Placement &placement, std::size_t worker) const
    {
        return std::any_of(placement.m_tasksPerWorker.begin(), placement.m_tasksPerWorker.end(), [&](const auto &place) {
            return place.first->m_state == &m_workers[worker];
        });
    }

    std::array<dispatch::WorkerState, 6> m_workers;
    std::array<int, 6> m_speedClasses {};
    jobs::StepSpec m_spec;
    catalog::Queue m_queue;
    dispatch::Candidate m_candidate;
    dispatch::AvailableWorkers m_availableWorkers;
};

}

Test(placing, stepThatFailed_workersWithARecentHealthyStart_areChosen)
{
    RackFixture fixture;
    fixture.m_candidate.m_hasFailed = true;
    fixture.m_workers[2].m_lastHealthyStartAt = now - 100ms;
    fixture.m_workers[4].m_lastHealthyStartAt = now - 300ms;
    fixture.m_workers[0].m_lastHealthyStartAt = now - 5s;
    const dispatch::Placement placement = fixture.choose(2);
    cr_assert_eq(placement.m_tasks, 2);
    cr_assert(fixture.isChosen(placement, 2));
    cr_assert(fixture.isChosen(placement, 4));
}

Test(placing, stepThatFailed_tooFewWorkersWithAHealthyStart_anyAreChosen)
{
    RackFixture fixture;
    fixture.m_candidate.m_hasFailed = true;
    fixture.m_workers[2].m_lastHealthyStartAt = now - 100ms;
    cr_assert_eq(fixture.choose(6).m_tasks, 6);
}

Test(placing, stepThatFailedOnAWorker_otherWorkersWithCapacity_areChosen)
{
    RackFixture fixture;
    fixture.m_candidate.m_hasFailed = true;
    fixture.m_candidate.m_failedOn = {fleet::WorkerId("w0"), fleet::WorkerId("w1")};
    const dispatch::Placement placement = fixture.choose(4);
    cr_assert_eq(placement.m_tasks, 4);
    cr_assert_not(fixture.isChosen(placement, 0));
    cr_assert_not(fixture.isChosen(placement, 1));
}

Test(placing, stepThatFailedOnAWorker_noOtherCapacity_theWorkerIsChosen)
{
    RackFixture fixture;
    fixture.m_candidate.m_hasFailed = true;
    fixture.m_candidate.m_failedOn = {fleet::WorkerId("w0")};
    cr_assert_eq(fixture.choose(6).m_tasks, 6);
}

Test(placing, workerOnProbation_getsOneTaskAndNoGang)
{
    RackFixture fixture;
    fixture.m_workers[3].m_consecutiveFailures = 1;
    cr_assert_eq(fixture.choose(6).m_tasks, 0);
    fixture.m_spec.m_isGang = false;
    fixture.m_candidate.m_requiresOneRack = false;
    fixture.m_candidate.m_perTask = {1000, 1000, 1};
    const dispatch::Placement placement = fixture.choose(48);
    cr_assert_eq(placement.m_tasks, 41);
}

/// A gang with little slack that includes one slow worker misses its objective although fast ones are free.
Test(placing, gangWithLittleSlack_slowWorkersInTheRack_areLeftOut)
{
    RackFixture fixture;
    fixture.m_speedClasses = {4, 0, 4, -4, 0, 4};
    fixture.m_candidate.m_speedPreference = dispatch::SpeedPreference::Fastest;
    const dispatch::Placement placement = fixture.choose(3);
    cr_assert_eq(placement.m_tasks, 3);
    cr_assert(fixture.isChosen(placement, 1));
    cr_assert(fixture.isChosen(placement, 3));
    cr_assert(fixture.isChosen(placement, 4));
}

/// With the least capacity left over as the only rule, the gang would go to the rack whose workers are slow.
Test(placing, gangWithLittleSlack_smallestRackIsSlow_theFasterRackIsChosen)
{
    RackFixture fixture;
    fixture.m_speedClasses = {4, 4, 0, 0, 0, -4};
    for (const std::size_t i : {0UL, 1UL}) {
        fixture.m_workers[i].m_registration.m_rack = fleet::RackId("small");
    }
    fixture.m_candidate.m_speedPreference = dispatch::SpeedPreference::Fastest;
    const dispatch::Placement placement = fixture.choose(2);
    cr_assert_eq(placement.m_tasks, 2);
    cr_assert(fixture.isChosen(placement, 5));
    cr_assert_not(fixture.isChosen(placement, 0));
}

/// Steps with much slack would otherwise occupy the fast workers that urgent steps need.
Test(placing, stepWithMuchSlack_slowWorkersAreFree_leavesTheFastOnes)
{
    RackFixture fixture;
    fixture.m_speedClasses = {-4, 4, 0, 4, -4, dispatch::unknownSpeedClass};
    fixture.m_candidate.m_speedPreference = dispatch::SpeedPreference::Slowest;
    const dispatch::Placement placement = fixture.choose(3);
    cr_assert_eq(placement.m_tasks, 3);
    cr_assert(fixture.isChosen(placement, 1));
    cr_assert(fixture.isChosen(placement, 3));
    cr_assert(fixture.isChosen(placement, 5));
}

/// Speed only orders the workers: a step must start where there is room.
Test(placing, gangWithLittleSlack_onlySlowWorkersFree_startsThere)
{
    RackFixture fixture;
    fixture.m_speedClasses = {4, 4, 4, 4, 4, 4};
    fixture.m_candidate.m_speedPreference = dispatch::SpeedPreference::Fastest;
    cr_assert_eq(fixture.choose(6).m_tasks, 6);
}
