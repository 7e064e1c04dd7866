#include "components/dispatch/run_log.hpp"

#include "components/dispatch/context.hpp"
#include "components/dispatch/environment.hpp"
#include "components/dispatch/runs.hpp"
#include "components/dispatch/scheduler_events.hpp"
#include "components/journal/changes.hpp"

#include <algorithm>
#include <chrono>
#include <string>

#include <criterion/criterion.h>

namespace
{

using namespace std::chrono_literals;
using dispatch::RunEndProof;

constexpr fleet::Now now {fleet::BootTime(100s), fleet::TimePoint(1000s)};

/// A job of one task, and two listed workers that have answered. The task's first run was ordered to start on worker "a".
struct RunLogFixture
{
    RunLogFixture()
    {
        journal::JobAccepted accepted;
        accepted.m_spec.m_id = m_job;
        accepted.m_spec.m_steps.resize(1);
        accepted.m_spec.m_steps[0].m_tasks = 1;
        journal::Changes changes;
        journal::apply(m_journal, accepted, changes);
        m_state.m_token.m_value = 1;
        dispatch::takeOver(m_state, environment(), now.m_boot, now);
        list(1);
        poll("a", {});
        poll("b", {});
        launch(1, "a");
    }

    dispatch::Environment environment()
    {
        return {m_journal, m_catalog, m_zonesOut, m_waves};
    }

    workers::WorkerIncarnation worker(const std::string &id) const
    {
        return {fleet::WorkerId(id), id == "a" ? m_born : 1};
    }

    void list(std::int64_t born)
    {
        m_born = born;
        std::vector<workers::Registration> registrations(2);
        registrations[0].m_incarnation = worker("a");
        registrations[1].m_incarnation = worker("b");
        keep(dispatch::onListRead(m_state, environment(), registrations, now));
    }

    jobs::RunId run(std::uint32_t number) const
    {
        return {{{m_job, 0, 0}, 0}, number};
    }

    void launch(std::uint32_t number, const std::string &id)
    {
        dispatch::Context context {m_state, m_journal, m_catalog, m_zonesOut, m_waves, now, {}, {}, {}, {}, {}, {}, {}};
        dispatch::launch(context, run(number), worker(id), {});
        dispatch::RunState &state = m_state.m_runs.at(run(number));
        state.m_phase = dispatch::RunPhase::Starting;
        state.m_startTries = 1;
    }

    void answerStart(workers::OrderOutcome outcome)
    {
        workers::StartOrder order;
        order.m_target = worker("a");
        order.m_run = run(1);
        keep(dispatch::onStartEnded(m_state, environment(), order, {outcome, 0, {}}, now));
    }

    /// The worker answers a poll with these runs.
    void poll(const std::string &id, const std::vector<std::uint32_t> &running)
    {
        workers::PollOrder order;
        order.m_target = worker(id);
        workers::PollResult result;
        result.m_outcome = workers::PollOutcome::Answered;
        result.m_startedAtMs = order.m_target.m_startedAtMs;
        for (const std::uint32_t number : running) {
            result.m_running.emplace_back().m_run = run(number);
        }
        keep(dispatch::onPollEnded(m_state, environment(), order, now.m_boot + 1ms, result, now));
    }

    void reportEnd(const std::string &id, jobs::RunEnd end)
    {
        workers::PollOrder order;
        order.m_target = worker(id);
        workers::PollResult result;
        result.m_outcome = workers::PollOutcome::Answered;
        result.m_startedAtMs = order.m_target.m_startedAtMs;
        result.m_ended.push_back({1, run(1), end, {}});
        keep(dispatch::onPollEnded(m_state, environment(), order, now.m_boot + 1ms, result, now));
    }

    void keep(const dispatch::Outbox &outbox)
    {
        m_log.insert(m_log.end(), outbox.m_log.begin(), outbox.m_log.end());
        m_counts += outbox.m_counts;
    }

    std::ptrdiff_t count(const std::string &event) const
    {
        return std::count_if(m_log.begin(), m_log.end(), [&](const logging::Line &line) {
            return line.event() == event;
        });
    }

    bool isLogged(const std::string &event, const std::string &text) const
    {
        return std::any_of(m_log.begin(), m_log.end(), [&](const logging::Line &line) {
            return line.event() == event && (line.text() + ' ').find(' ' + text + ' ') != std::string::npos;
        });
    }

    jobs::JobId m_job {1};
    std::int64_t m_born = 1;
    journal::JournalState m_journal;
    catalog::Catalog m_catalog;
    std::set<fleet::ZoneId> m_zonesOut;
    std::map<std::string, catalog::UpkeepWave> m_waves;
    dispatch::State m_state;
    std::vector<logging::Line> m_log;
    dispatch::RunCounts m_counts;
};

void expectProof(const RunLogFixture &fixture, RunEndProof proof)
{
    const std::string name = dispatch::nameOf(proof);
    cr_assert(fixture.isLogged("run-end", "proof=" + name), "no end with the proof %s", name.c_str());
    cr_assert_eq(fixture.count("run-end"), 1);
    cr_assert_eq(fixture.m_counts.m_givenUp, (std::map<RunEndProof, std::uint64_t> {{proof, 1}}));
}

}

/// One word stood for all of these.
Test(runLog, startThatWasNotCarriedOut_proofNamesTheAnswer)
{
    const std::vector<std::pair<workers::OrderOutcome, RunEndProof>> cases {
        {workers::OrderOutcome::NotSent, RunEndProof::NotSent},
        {workers::OrderOutcome::NoCapacity, RunEndProof::RefusedForRoom},
        {workers::OrderOutcome::BadTicket, RunEndProof::RefusedForTicket},
        {workers::OrderOutcome::OtherIncarnation, RunEndProof::OtherInstanceAnswered},
        {workers::OrderOutcome::Malformed, RunEndProof::Refused},
    };
    for (const auto &[outcome, proof] : cases) {
        RunLogFixture fixture;
        fixture.answerStart(outcome);
        expectProof(fixture, proof);
    }
}

Test(runLog, runMissingInTheListOfItsWorker_proofNamesWhy)
{
    RunLogFixture started;
    started.answerStart(workers::OrderOutcome::Done);
    started.poll("a", {});
    expectProof(started, RunEndProof::NotListedByWorker);
    RunLogFixture over;
    over.answerStart(workers::OrderOutcome::RunIsOver);
    over.poll("a", {});
    expectProof(over, RunEndProof::RefusedAsOver);
    RunLogFixture restarted;
    restarted.answerStart(workers::OrderOutcome::Done);
    restarted.list(2);
    restarted.poll("a", {});
    expectProof(restarted, RunEndProof::RestartedWithoutIt);
}

/// Workers report a stray run with each poll until it has ended.
Test(runLog, strayRunInSeveralAnswers_isCountedOnce)
{
    RunLogFixture fixture;
    fixture.answerStart(workers::OrderOutcome::NoCapacity);
    fixture.poll("a", {1});
    fixture.poll("a", {1});
    cr_assert(fixture.isLogged("stray-run", "closed=refused-for-room"));
    cr_assert(fixture.isLogged("stray-run", "restarted=false"));
    cr_assert(fixture.isLogged("stray-run", "other_run=0"));
    cr_assert(fixture.isLogged("stray-run", "task_state=not-done"));
    cr_assert(fixture.isLogged("stray-run", "last_run=1"));
    cr_assert_eq(fixture.m_counts.m_strayRuns, 1U);
    cr_assert_eq(fixture.m_counts.m_twoRuns, 0U);
    fixture.launch(2, "b");
    fixture.poll("a", {1});
    fixture.poll("a", {1});
    cr_assert_eq(fixture.m_counts.m_strayRuns, 1U);
    cr_assert_eq(fixture.m_counts.m_twoRuns, 1U);
    cr_assert_eq(fixture.count("two-runs"), 1);
    cr_assert(fixture.isLogged("two-runs", "other_worker=b"));
}

/// The other run was not ordered to start yet, so there are no two.
Test(runLog, strayRunBesideALaunchThatIsNotStored_isNoPair)
{
    RunLogFixture fixture;
    fixture.answerStart(workers::OrderOutcome::NoCapacity);
    fixture.launch(2, "b");
    fixture.m_state.m_runs.at(fixture.run(2)).m_startTries = 0;
    fixture.poll("a", {1});
    cr_assert(fixture.isLogged("stray-run", "other_run=2"));
    cr_assert_eq(fixture.count("two-runs"), 0);
}

Test(runLog, orderWithoutAnswerBeforeARestart_isNamedWithTheRestartAndTheStrayRun)
{
    RunLogFixture fixture;
    fixture.answerStart(workers::OrderOutcome::Unknown);
    cr_assert(fixture.isLogged("start-unanswered", "try=1"));
    cr_assert(fixture.isLogged("start-unanswered", "open=true"));
    fixture.list(2);
    cr_assert_eq(fixture.m_counts.m_workerRestarts, 1U);
    cr_assert(fixture.isLogged("worker-restarted", "learned=list"));
    cr_assert(fixture.isLogged("worker-restarted", "runs_unanswered=1"));
    cr_assert(fixture.isLogged("worker-restarted", "closed_unanswered=0"));
    dispatch::Context context {fixture.m_state, fixture.m_journal, fixture.m_catalog, fixture.m_zonesOut, fixture.m_waves, now, {}, {}, {}, {}, {}, {}, {}};
    dispatch::endRun(context, fixture.run(1), jobs::RunEnd::LostWithWorker, {}, RunEndProof::OtherInstanceAnswered);
    fixture.keep(context.m_out);
    cr_assert(fixture.isLogged("run-end", "launched_born=1"));
    cr_assert(fixture.isLogged("run-end", "born=2"));
    fixture.poll("a", {1});
    cr_assert(fixture.isLogged("stray-run", "restarted=true"));
    cr_assert(fixture.isLogged("stray-run", "unanswered_start=true"));
    cr_assert(fixture.isLogged("stray-run", "closed=other-instance-answered"));
}

/// A new holder knows neither the order nor the restart: only the journal says that it must not run any more.
Test(runLog, finishedTaskThatAFormerHolderOrdered_isNamedAsOver)
{
    RunLogFixture fixture;
    dispatch::Context context {fixture.m_state, fixture.m_journal, fixture.m_catalog, fixture.m_zonesOut, fixture.m_waves, now, {}, {}, {}, {}, {}, {}, {}};
    dispatch::endRun(context, fixture.run(1), jobs::RunEnd::Done, {}, RunEndProof::ReportedByWorker);
    fixture.m_state = dispatch::State();
    fixture.m_state.m_token.m_value = 2;
    fixture.keep(dispatch::takeOver(fixture.m_state, fixture.environment(), now.m_boot, now));
    fixture.list(2);
    cr_assert_eq(fixture.count("worker-restarted"), 0);
    fixture.poll("a", {1});
    cr_assert(fixture.isLogged("stray-run", "restarted=unknown"));
    cr_assert(fixture.isLogged("stray-run", "closed=unknown"));
    cr_assert(fixture.isLogged("stray-run", "task_state=job-over"));
    fixture.reportEnd("a", jobs::RunEnd::Done);
    cr_assert(fixture.isLogged("end-after-close", "task_state=job-over"));
    cr_assert(fixture.isLogged("end-after-close", "born=2"));
}

/// If a zone is lost, many runs are closed at once.
Test(runLog, manyClosedRuns_areBounded)
{
    RunLogFixture fixture;
    constexpr std::size_t many = 5000;
    constexpr std::size_t bound = 4096;
    const dispatch::RunState state = fixture.m_state.m_runs.at(fixture.run(1));
    dispatch::Context context {fixture.m_state, fixture.m_journal, fixture.m_catalog, fixture.m_zonesOut, fixture.m_waves, now, {}, {}, {}, {}, {}, {}, {}};
    for (std::size_t i = 0; i < many; ++i) {
        dispatch::logRunEnd(context, fixture.run(1), state, jobs::RunEnd::LeaseExpired, RunEndProof::LeaseOver);
    }
    cr_assert_eq(fixture.m_state.m_closedRuns.size(), bound);
    context.m_now.m_boot += 60s;
    dispatch::logRunEnd(context, fixture.run(1), state, jobs::RunEnd::LeaseExpired, RunEndProof::LeaseOver);
    cr_assert_eq(fixture.m_state.m_closedRuns.size(), 1U);
}
