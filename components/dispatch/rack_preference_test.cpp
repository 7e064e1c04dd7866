#include "components/dispatch/rack_preference.hpp"

#include "components/catalog/queue.hpp"
#include "components/dispatch/candidate.hpp"
#include "components/dispatch/waiting_step.hpp"
#include "components/jobs/step_spec.hpp"

#include <chrono>
#include <string>

#include <criterion/criterion.h>

namespace
{

using namespace std::chrono_literals;

constexpr fleet::BootTime begin {100s};

/// Two racks of two workers with eight accelerators each, all in use, and a gang whose tasks need eight each.
struct RacksFixture
{
    RacksFixture()
    {
        for (int i = 0; i < 4; ++i) {
            dispatch::WorkerState &worker = m_workers[fleet::WorkerId("w" + std::to_string(i))];
            worker.m_registration.m_incarnation.m_worker = fleet::WorkerId("w" + std::to_string(i));
            worker.m_registration.m_rack = fleet::RackId(i < 2 ? "r0" : "r1");
            worker.m_registration.m_capacity = {32'000, 64'000, 8};
            worker.m_allocated = worker.m_registration.m_capacity;
            worker.m_isListed = true;
        }
        m_spec.m_isGang = true;
        m_candidate.m_spec = &m_spec;
        m_candidate.m_queue = &m_queue;
        m_candidate.m_perTask = {1000, 1000, 8};
    }

    bool canARackHold(std::size_t tasks)
    {
        m_candidate.m_tasks.resize(tasks);
        return dispatch::canARackHold(m_candidate, m_workers, begin);
    }

    std::map<fleet::WorkerId, dispatch::WorkerState> m_workers;
    jobs::StepSpec m_spec;
    catalog::Queue m_queue;
    dispatch::Candidate m_candidate;
};

}

Test(rackPreference, gangAsLargeAsARack_whateverIsInUse_canBeHeld)
{
    RacksFixture fixture;
    cr_assert(fixture.canARackHold(2));
    cr_assert_not(fixture.canARackHold(3));
}

Test(rackPreference, workersThatAreNotListedOrLackTheLabel_areNotCounted)
{
    RacksFixture fixture;
    fixture.m_workers.at(fleet::WorkerId("w0")).m_isListed = false;
    cr_assert(fixture.canARackHold(2));
    fixture.m_workers.at(fleet::WorkerId("w2")).m_isListed = false;
    cr_assert_not(fixture.canARackHold(2));
    fixture.m_spec.m_requiredLabel = "other";
    cr_assert_not(fixture.canARackHold(1));
}

Test(rackPreference, fewerTasksOfTheStepOnAWorkerThanFit_areCounted)
{
    RacksFixture fixture;
    fixture.m_candidate.m_perTask = {1000, 1000, 1};
    cr_assert(fixture.canARackHold(16));
    fixture.m_spec.m_maxPerRunner = 3;
    cr_assert(fixture.canARackHold(6));
    cr_assert_not(fixture.canARackHold(7));
}

Test(rackPreference, waitForOneRack_countsOnlyWhileTheGangFitsInSeveral)
{
    dispatch::WaitingStep waiting;
    dispatch::recordFitInSeveralRacks(waiting, false, begin);
    dispatch::recordFitInSeveralRacks(waiting, false, begin + 10s);
    cr_assert_not(dispatch::hasWaitedForOneRack(waiting));
    dispatch::recordFitInSeveralRacks(waiting, true, begin + 20s);
    dispatch::recordFitInSeveralRacks(waiting, true, begin + 21s);
    dispatch::recordFitInSeveralRacks(waiting, false, begin + 22s);
    dispatch::recordFitInSeveralRacks(waiting, true, begin + 30s);
    cr_assert_not(dispatch::hasWaitedForOneRack(waiting));
    dispatch::recordFitInSeveralRacks(waiting, true, begin + 30s + 500ms);
    cr_assert(dispatch::hasWaitedForOneRack(waiting));
}
