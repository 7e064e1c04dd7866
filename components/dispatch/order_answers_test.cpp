#include "components/dispatch/candidate.hpp"
#include "components/dispatch/candidates.hpp"
#include "components/dispatch/context.hpp"
#include "components/dispatch/environment.hpp"
#include "components/dispatch/reports.hpp"
#include "components/dispatch/runs.hpp"
#include "components/dispatch/scheduler_events.hpp"
#include "components/dispatch/state.hpp"
#include "components/dispatch/stray_runs.hpp"
#include "components/dispatch/unanswered_starts.hpp"
#include "components/journal/changes.hpp"
#include "components/workers/poll_order.hpp"
#include "components/workers/poll_result.hpp"
#include "components/workers/start_order.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <utility>

#include <criterion/criterion.h>

namespace
{

using namespace std::chrono_literals;
using workers::OrderOutcome;

constexpr std::array refusals {OrderOutcome::Unhealthy, OrderOutcome::NoCapacity, OrderOutcome::BadTicket, OrderOutcome::Malformed};

/// A holder whose first order to start the only task of a job had no answer.
struct UnansweredStartFixture
{
    UnansweredStartFixture()
    {
        journal::JobAccepted accepted;
        accepted.m_spec.m_id = m_run.m_task.m_step.m_job;
        accepted.m_spec.m_steps.resize(1);
        accepted.m_spec.m_steps[0].m_tasks = 1;
        journal::Changes changes;
        journal::apply(m_journal, accepted, changes);
        m_state.m_token.m_value = 1;
        dispatch::takeOver(m_state, environment(), m_now, {m_now, {}});
        workers::Registration entry;
        entry.m_incarnation = m_worker;
        entry.m_address = "w";
        entry.m_capacity = {8000, 8000, 8};
        entry.m_clockMs = 1000;
        dispatch::onListRead(m_state, environment(), {entry}, {m_now, {}});

        launch(m_run);
        m_state.m_runs.at(m_run).m_phase = dispatch::RunPhase::Starting;
        m_state.m_runs.at(m_run).m_startTries = 1;
        endStart(OrderOutcome::Unknown);
    }

    dispatch::Environment environment()
    {
        return {m_journal, m_catalog, m_zonesOut, m_waves};
    }

    void endStart(OrderOutcome outcome, std::int64_t clockMs = 2000)
    {
        workers::StartOrder order;
        order.m_target = m_worker;
        order.m_run = m_run;
        dispatch::onStartEnded(m_state, environment(), order, {outcome, clockMs, {}}, {m_now, {}});
    }

    void endPoll(const workers::PollResult &result)
    {
        workers::PollOrder order;
        order.m_target = m_worker;
        dispatch::onPollEnded(m_state, environment(), order, m_now, result, {m_now, {}});
    }

    workers::PollResult answer(std::int64_t clockMs) const
    {
        workers::PollResult result;
        result.m_outcome = workers::PollOutcome::Answered;
        result.m_startedAtMs = m_worker.m_startedAtMs;
        result.m_clockMs = clockMs;
        return result;
    }

    void listAsRunning()
    {
        workers::PollResult result = answer(2000);
        result.m_running.push_back({m_run, {}, 10, -1});
        endPoll(result);
    }

    void listAsNotRunning(std::int64_t clockMs)
    {
        endPoll(answer(clockMs));
    }

    workers::Registration entry(std::int64_t startedAtMs) const
    {
        workers::Registration registration;
        registration.m_incarnation = {m_worker.m_worker, startedAtMs};
        registration.m_address = "w";
        registration.m_capacity = {8000, 8000, 8};
        registration.m_clockMs = 1000;
        return registration;
    }

    void readList(const std::vector<workers::Registration> &entries)
    {
        dispatch::onListRead(m_state, environment(), entries, {m_now, {}});
    }

    /// The worker has restarted under its id, and this is the first answer of the next incarnation.
    void restart(std::int64_t startedAtMs, std::int64_t clockMs, bool hasRun)
    {
        workers::PollResult result = answer(clockMs);
        result.m_startedAtMs = startedAtMs;
        if (hasRun) {
            result.m_running.push_back({m_run, {}, 10, -1});
        }
        endPoll(result);
        m_worker.m_startedAtMs = startedAtMs;
    }

    void launch(const jobs::RunId &run)
    {
        dispatch::Context context {m_state, m_journal, m_catalog, m_zonesOut, m_waves, {m_now, {}}, {}, {}, {}, {}, {}, {}, {}};
        dispatch::launch(context, run, m_worker, {});
    }

    void giveUpRun()
    {
        dispatch::Context context {m_state, m_journal, m_catalog, m_zonesOut, m_waves, {m_now, {}}, {}, {}, {}, {}, {}, {}, {}};
        dispatch::endRun(context, m_run, jobs::RunEnd::LeaseExpired, {}, dispatch::RunEndProof::LeaseOver);
    }

    bool isHeldBackByAStrayRun()
    {
        const dispatch::Context context {m_state, m_journal, m_catalog, m_zonesOut, m_waves, {m_now, {}}, {}, {}, {}, {}, {}, {}, {}};
        return dispatch::tasksWithStrayRuns(context).contains(m_run.m_task);
    }

    bool isOpen() const
    {
        return m_state.m_runs.contains(m_run);
    }

    fleet::BootTime m_now {100s};
    jobs::RunId m_run {{{{7}, 0, 0}, 0}, 1};
    workers::WorkerIncarnation m_worker {fleet::WorkerId("w"), 1};
    journal::JournalState m_journal;
    catalog::Catalog m_catalog;
    std::set<fleet::ZoneId> m_zonesOut;
    std::map<std::string, catalog::UpkeepWave> m_waves;
    dispatch::State m_state;
};

}

/// The refusal of a repeated order was taken as proof that the run did not exist, and the task ran twice at once.
Test(orderAnswers, repeatedStartRefusedAfterTheRunWasListed_runStaysOpen)
{
    for (const OrderOutcome refusal : refusals) {
        UnansweredStartFixture fixture;
        cr_assert(fixture.isOpen());
        fixture.listAsRunning();
        fixture.endStart(refusal);
        cr_expect(fixture.isOpen(), "refusal %d", static_cast<int>(refusal));
    }
}

/// The earlier order may still begin the run.
Test(orderAnswers, repeatedStartRefusedBeforeTheRunWasListed_runIsStopped)
{
    for (const OrderOutcome refusal : refusals) {
        UnansweredStartFixture fixture;
        fixture.endStart(refusal);
        cr_assert(fixture.isOpen(), "refusal %d", static_cast<int>(refusal));
        cr_expect(fixture.m_state.m_runs.at(fixture.m_run).m_isStopRequested, "refusal %d", static_cast<int>(refusal));
    }
}

/// Another instance at the address shows that the worker is gone. A run that has begun may not count as never begun, since a member of a gang that
/// never began joins its run again.
Test(orderAnswers, otherInstanceAnswersARepeatedStartAfterTheRunWasListed_runIsLostWithItsWorker)
{
    UnansweredStartFixture fixture;
    fixture.listAsRunning();
    fixture.endStart(OrderOutcome::OtherIncarnation);
    cr_assert_not(fixture.isOpen());
    cr_expect(fixture.m_journal.m_jobs.at(fixture.m_run.m_task.m_step.m_job).m_hasBegun);
}

/// The lease was taken for expired by the clock of the worker before its restart, while the run went on, and the task ran twice at once.
Test(orderAnswers, startAnsweredByARestartedWorker_runIsKeptForAWholeLease)
{
    UnansweredStartFixture fixture;
    fixture.listAsNotRunning(500'000);
    fixture.m_state.m_workers.at(fixture.m_worker.m_worker).m_grantedLeaseEndMs = 503'000;
    fixture.m_state.m_runs.at(fixture.m_run).m_startSentAt = fixture.m_now;
    fixture.endStart(OrderOutcome::Done, 300);
    for (int i = 0; i < 3; ++i) {
        fixture.endPoll({});
    }
    fixture.m_now += fixture.m_state.m_settings.m_leaseLimit;
    dispatch::onTick(fixture.m_state, fixture.environment(), {}, {fixture.m_now, {}});
    cr_assert(fixture.isOpen());
    fixture.m_now += 1s;
    dispatch::onTick(fixture.m_state, fixture.environment(), {}, {fixture.m_now, {}});
    cr_assert_not(fixture.isOpen());
}

/// A late order gives a worker that has restarted a whole lease from then on, since its deadline is a time on the clock of the incarnation before.
/// The task was launched elsewhere while the worker's latest list had it as running.
Test(orderAnswers, restartedWorkerListsAStrayRunAfterItsFirstLease_taskIsNotLaunched)
{
    UnansweredStartFixture fixture;
    fixture.giveUpRun();
    fixture.restart(2, 100, false);
    fixture.m_now += 7s;
    workers::PollResult result = fixture.answer(7100);
    result.m_running.push_back({fixture.m_run, {}, 10, -1});
    fixture.endPoll(result);
    cr_assert(fixture.isHeldBackByAStrayRun());
}

/// An entry may lapse and come back while the store is out. What the worker was known to run was forgotten with the entry.
Test(orderAnswers, workerWithAStrayRunIsListedAgain_taskIsNotLaunched)
{
    UnansweredStartFixture fixture;
    fixture.giveUpRun();
    fixture.listAsRunning();
    cr_assert(fixture.isHeldBackByAStrayRun());
    fixture.readList({});
    cr_assert(fixture.isHeldBackByAStrayRun());
    fixture.readList({fixture.entry(1)});
    cr_assert(fixture.isHeldBackByAStrayRun());
}

/// An order that is answered as lost after the worker's restart was known may be carried out by a further incarnation too. Once the run had been
/// listed it no longer counted as in doubt, and the task was launched elsewhere before a stop had the worker refuse the order.
Test(orderAnswers, orderToTheIncarnationBeforeGetsNoAnswer_runIsStoppedAfterAFurtherRestart)
{
    UnansweredStartFixture fixture;
    fixture.listAsRunning();
    dispatch::RunState &run = fixture.m_state.m_runs.at(fixture.m_run);
    run.m_hasUnansweredStart = false;
    run.m_startInFlight = true;
    const workers::WorkerIncarnation first = fixture.m_worker;
    fixture.restart(2, 100, true);
    cr_assert(fixture.isOpen());
    const workers::WorkerIncarnation second = std::exchange(fixture.m_worker, first);
    fixture.endStart(OrderOutcome::Unknown);
    fixture.m_worker = second;
    fixture.restart(3, 100, false);
    cr_assert(fixture.isOpen());
    cr_expect(fixture.m_state.m_runs.at(fixture.m_run).m_isStopRequested);
}

/// A worker that is down for longer leaves the list. It was forgotten then, so that its restart was only seen by the list and not by a poll.
Test(orderAnswers, workerThatMayCarryOutAStartLeavesTheList_isPolledOn)
{
    UnansweredStartFixture fixture;
    fixture.giveUpRun();
    fixture.readList({});
    cr_assert(fixture.m_state.m_workers.contains(fixture.m_worker.m_worker));
    const dispatch::Outbox out = dispatch::runSchedulingCycle(fixture.m_state, fixture.environment(), {fixture.m_now + 1s, {}});
    cr_assert_eq(out.m_polls.size(), 1);
}

/// No start goes out while the incarnation is in doubt. A run whose worker fails between its launch and its first start order had no order that could
/// lapse, and stayed open for good.
Test(orderAnswers, workerFailsBeforeTheFirstStart_runEnds)
{
    for (const bool isListed : {true, false}) {
        UnansweredStartFixture fixture;
        fixture.giveUpRun();
        fixture.listAsNotRunning(2000);
        const jobs::RunId run {fixture.m_run.m_task, 2};
        fixture.launch(run);
        fixture.endPoll({});
        fixture.m_state.m_runs.at(run).m_phase = dispatch::RunPhase::Starting;
        for (int i = 0; i < 300; ++i) {
            fixture.m_now += 100ms;
            fixture.readList(isListed ? std::vector {fixture.entry(1)} : std::vector<workers::Registration>());
            dispatch::onTick(fixture.m_state, fixture.environment(), {}, {fixture.m_now, {}});
            const dispatch::Outbox out = dispatch::runSchedulingCycle(fixture.m_state, fixture.environment(), {fixture.m_now, {}});
            for (const workers::PollOrder &order : out.m_polls) {
                dispatch::onPollEnded(fixture.m_state, fixture.environment(), order, fixture.m_now, {}, {fixture.m_now, {}});
            }
            for (const workers::StartOrder &order : out.m_starts) {
                dispatch::onStartEnded(fixture.m_state, fixture.environment(), order, {}, {fixture.m_now, {}});
            }
        }
        cr_expect_not(fixture.m_state.m_runs.contains(run), "listed %d", static_cast<int>(isListed));
    }
}

/// A worker returns at most 500 ends at a time. A run whose end follows with the next list was taken for lost, and a done task ran again.
Test(orderAnswers, workerListsAsManyEndsAsItReturnsAtOnce_unlistedRunStaysOpen)
{
    constexpr std::uint64_t endsAtOnce = 500;
    UnansweredStartFixture fixture;
    fixture.listAsRunning();
    fixture.m_now += 1s;
    workers::PollResult result = fixture.answer(3000);
    for (std::uint64_t i = 1; i <= endsAtOnce; ++i) {
        result.m_ended.push_back({i, {{{{8}, 0, 0}, static_cast<std::uint16_t>(i)}, 1}, jobs::RunEnd::Done, {}});
    }
    fixture.endPoll(result);
    cr_assert(fixture.isOpen());
}

/// The next incarnation would take the acknowledgement for one of its own ends, and the lease end for a time on its own clock.
Test(orderAnswers, pollAfterACallWithoutAnswer_hasNeitherAcknowledgementNorLease)
{
    UnansweredStartFixture fixture;
    fixture.listAsRunning();
    dispatch::WorkerState &worker = fixture.m_state.m_workers.at(fixture.m_worker.m_worker);
    worker.m_endsReceived = 1;
    worker.m_endsStored = 1;
    fixture.endPoll({});
    fixture.m_now += 1s;
    const dispatch::Outbox out = dispatch::runSchedulingCycle(fixture.m_state, fixture.environment(), {fixture.m_now, {}});
    cr_assert_eq(out.m_polls.size(), 1);
    cr_expect_eq(out.m_polls.front().m_acknowledgedUpTo, 0);
    cr_expect_not(out.m_polls.front().m_leaseUntilMs);
}

/// The restarted worker would carry out the order of a finished run while the holder is without the store (issue 13).
Test(orderAnswers, workerHasRestartedWhileTheHolderIsWithoutTheStore_lateStartIsStopped)
{
    UnansweredStartFixture fixture;
    fixture.giveUpRun();
    fixture.restart(2, 100, false);
    fixture.m_state.m_mayRenewLeases = false;
    const dispatch::Outbox out = dispatch::runSchedulingCycle(fixture.m_state, fixture.environment(), {fixture.m_now + 1s, {}});
    cr_assert_eq(out.m_stops.size(), 1);
    cr_expect_eq(out.m_stops.front().m_target, fixture.m_worker);
}

/// A stop may be refused or lost. The stray run of a worker without other runs was stopped again only if something else had it polled.
Test(orderAnswers, workerWithoutOtherRunsListsAStrayRun_isPolledAgainSoon)
{
    UnansweredStartFixture fixture;
    fixture.giveUpRun();
    fixture.m_state.m_unansweredStarts.clear();
    fixture.m_state.m_workers.at(fixture.m_worker.m_worker).m_isProbeDue = false;
    fixture.listAsRunning();
    const dispatch::Outbox out = dispatch::runSchedulingCycle(fixture.m_state, fixture.environment(), {fixture.m_now + 200ms, {}});
    cr_assert_eq(out.m_polls.size(), 1);
    cr_expect_eq(out.m_polls.front().m_wait.count(), 0);
}

/// The members of a gang start together, so that none starts beside the late run of another one.
Test(orderAnswers, workerListsAStrayRunOfAGangMember_noMemberIsLaunched)
{
    UnansweredStartFixture fixture;
    fixture.giveUpRun();
    const jobs::JobId gang {8};
    journal::JobAccepted accepted;
    accepted.m_spec.m_id = gang;
    accepted.m_spec.m_queue = fleet::QueueId("q");
    accepted.m_spec.m_steps.resize(1);
    accepted.m_spec.m_steps[0].m_tasks = 2;
    accepted.m_spec.m_steps[0].m_isGang = true;
    journal::Changes changes;
    journal::apply(fixture.m_journal, accepted, changes);
    catalog::Queue queue;
    queue.m_id = fleet::QueueId("q");
    fixture.m_catalog.m_queues.push_back(queue);
    fixture.m_state.m_activeJobs.emplace(gang, fixture.m_now);
    const auto countCandidates = [&] {
        const dispatch::Context context {
            fixture.m_state, fixture.m_journal, fixture.m_catalog, fixture.m_zonesOut, fixture.m_waves, {fixture.m_now, {}}, {}, {}, {}, {}, {}, {}, {}};
        const std::vector<dispatch::Candidate> candidates = dispatch::findCandidates(context);
        return std::count_if(candidates.begin(), candidates.end(), [&](const dispatch::Candidate &candidate) {
            return candidate.m_step.m_job == gang;
        });
    };
    cr_assert_eq(countCandidates(), 1);
    workers::PollResult result = fixture.answer(2000);
    result.m_running.push_back({{{{gang, 0, 0}, 1}, 1}, {}, 10, -1});
    fixture.endPoll(result);
    cr_assert_eq(countCandidates(), 0);
}
