#include "components/dispatch/waiting.hpp"

#include "components/catalog/queue.hpp"
#include "components/dispatch/available_workers.hpp"
#include "components/dispatch/candidate.hpp"
#include "components/dispatch/context.hpp"
#include "components/jobs/step_spec.hpp"

#include <array>
#include <chrono>
#include <string>

#include <criterion/criterion.h>

namespace
{

using namespace std::chrono_literals;
using dispatch::WaitReason;

constexpr fleet::Now now {fleet::BootTime(100s), fleet::TimePoint(1000s)};

/// Two racks of two idle workers with eight accelerators each, and a gang whose tasks need eight each.
struct WaitingFixture
{
    WaitingFixture()
    {
        for (int i = 0; i < 4; ++i) {
            dispatch::WorkerState &worker = m_state.m_workers[idOf(i)];
            worker.m_registration.m_incarnation.m_worker = idOf(i);
            worker.m_registration.m_rack = fleet::RackId(i < 2 ? "r0" : "r1");
            worker.m_registration.m_capacity = {32'000, 64'000, 8};
            worker.m_isListed = true;
        }
        m_spec.m_perTask = {1000, 1000, 8};
        m_spec.m_isGang = true;
        m_candidate.m_spec = &m_spec;
        m_candidate.m_queue = &m_queue;
        m_candidate.m_perTask = m_spec.m_perTask;
        m_candidate.m_tasks.resize(3);
    }

    static fleet::WorkerId idOf(int number)
    {
        return fleet::WorkerId("w" + std::to_string(number));
    }

    dispatch::WaitReport explain()
    {
        dispatch::Context context {m_state, m_journalState, m_catalog, m_zonesOut, m_waves, now, {}, {}, {}, {}, {}};
        return dispatch::explainWait(context, m_candidate, dispatch::findAvailableWorkers(context));
    }

    dispatch::State m_state;
    journal::JournalState m_journalState;
    catalog::Catalog m_catalog;
    std::set<fleet::ZoneId> m_zonesOut;
    std::map<std::string, catalog::UpkeepWave> m_waves;
    jobs::StepSpec m_spec;
    catalog::Queue m_queue;
    dispatch::Candidate m_candidate;
};

}

Test(waiting, labelThatNoWorkerHas_isTheReason)
{
    WaitingFixture fixture;
    fixture.m_spec.m_requiredLabel = "other";
    cr_assert(fixture.explain() == (dispatch::WaitReport {WaitReason::NoWorker, 0, 0, false}));
}

Test(waiting, workersInUse_areTheReason)
{
    WaitingFixture fixture;
    fixture.m_state.m_workers.at(WaitingFixture::idOf(0)).m_allocated = {0, 0, 1};
    fixture.m_state.m_workers.at(WaitingFixture::idOf(3)).m_allocated = {0, 0, 1};
    cr_assert(fixture.explain() == (dispatch::WaitReport {WaitReason::NoRoom, 2, 1, false}));
}

Test(waiting, workersOutOfService_areNoRoom)
{
    WaitingFixture fixture;
    fixture.m_state.m_workers.at(WaitingFixture::idOf(0)).m_isCordoned = true;
    fixture.m_state.m_workers.at(WaitingFixture::idOf(3)).m_registration.m_isDraining = true;
    cr_assert(fixture.explain() == (dispatch::WaitReport {WaitReason::NoRoom, 2, 1, false}));
}

Test(waiting, workersThatFailedOrAreSilent_areTheReason)
{
    WaitingFixture fixture;
    fixture.m_state.m_workers.at(WaitingFixture::idOf(0)).m_avoidUntil = now.m_boot + 1s;
    fixture.m_state.m_workers.at(WaitingFixture::idOf(3)).m_unansweredCalls = 1;
    cr_assert(fixture.explain() == (dispatch::WaitReport {WaitReason::WorkersAvoided, 4, 2, true}));
}

Test(waiting, servingTasksOnTheWorkers_areTheReasonForABestEffortStep)
{
    WaitingFixture fixture;
    fixture.m_state.m_workers.at(WaitingFixture::idOf(0)).m_servingRuns = 1;
    fixture.m_state.m_workers.at(WaitingFixture::idOf(3)).m_servingRuns = 1;
    cr_assert(fixture.explain() == (dispatch::WaitReport {WaitReason::Unexplained, 4, 2, true}));
    fixture.m_spec.m_usesIdleProcessor = true;
    cr_assert(fixture.explain() == (dispatch::WaitReport {WaitReason::BesideServing, 4, 2, true}));
}

/// A separate flag, which only a tick set and cleared, let best-effort tasks start beside disturbed serving ones until the next tick, or kept them
/// away for that long.
Test(waiting, disturbedServingTasks_areTheReasonUntilTheDisturbanceIsOver)
{
    WaitingFixture fixture;
    fixture.m_spec.m_usesIdleProcessor = true;
    fixture.m_candidate.m_mayRunBesideServing = true;
    for (const int i : {0, 3}) {
        dispatch::WorkerState &worker = fixture.m_state.m_workers.at(WaitingFixture::idOf(i));
        worker.m_servingRuns = 1;
        worker.m_disturbedUntil = now.m_boot + 1ms;
    }
    cr_assert(fixture.explain() == (dispatch::WaitReport {WaitReason::BesideServing, 4, 2, true}));
    for (const int i : {0, 3}) {
        fixture.m_state.m_workers.at(WaitingFixture::idOf(i)).m_disturbedUntil = now.m_boot;
    }
    cr_assert(fixture.explain() == (dispatch::WaitReport {WaitReason::Unexplained, 4, 2, true}));
}

Test(waiting, reservationsOfOtherSteps_areTheReason)
{
    WaitingFixture fixture;
    dispatch::Reservation &reservation = fixture.m_state.m_reservations[{{2}, 0, 0}];
    reservation.m_resources[WaitingFixture::idOf(0)] = {0, 0, 8};
    reservation.m_resources[WaitingFixture::idOf(3)] = {0, 0, 8};
    cr_assert(fixture.explain() == (dispatch::WaitReport {WaitReason::Reserved, 4, 2, true}));
}

Test(waiting, tooFewTickets_areTheReason)
{
    WaitingFixture fixture;
    fixture.m_candidate.m_tickets.emplace();
    fixture.m_candidate.m_tickets->emplace(WaitingFixture::idOf(0), "ticket");
    cr_assert(fixture.explain() == (dispatch::WaitReport {WaitReason::NoTicket, 4, 2, true}));
}

Test(waiting, gangThatRequiresOneRack_fitsSeveralOnly_theRackIsTheReason)
{
    WaitingFixture fixture;
    fixture.m_candidate.m_requiresOneRack = true;
    cr_assert(fixture.explain() == (dispatch::WaitReport {WaitReason::OneRack, 4, 2, true}));
    fixture.m_candidate.m_requiresOneRack = false;
    cr_assert(fixture.explain() == (dispatch::WaitReport {WaitReason::Unexplained, 4, 2, true}));
}
