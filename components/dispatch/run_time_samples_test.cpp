#include "components/dispatch/run_time_samples.hpp"

#include "components/dispatch/context.hpp"
#include "components/dispatch/environment.hpp"
#include "components/dispatch/reports.hpp"
#include "components/dispatch/runs.hpp"
#include "components/dispatch/scheduler_events.hpp"
#include "components/journal/changes.hpp"
#include "components/run_times/run_times.hpp"

#include <chrono>
#include <cmath>
#include <string>

#include <criterion/criterion.h>

namespace
{

using namespace std::chrono_literals;

constexpr fleet::BootTime begin {100s};

/// A job of one step with a task on each of four workers. Worker 3 takes twice as long as the others.
struct HolderFixture
{
    explicit HolderFixture(bool isGang = false)
    {
        journal::JobAccepted accepted;
        accepted.m_spec.m_id = m_job;
        accepted.m_spec.m_steps.resize(1);
        accepted.m_spec.m_steps[0].m_tasks = tasks;
        accepted.m_spec.m_steps[0].m_estimate = 1s;
        accepted.m_spec.m_steps[0].m_isGang = isGang;
        journal::Changes changes;
        journal::apply(m_journal, accepted, changes);
        hold(1);
    }

    /// A new holder takes the duty over.
    void hold(std::uint64_t token)
    {
        m_state = dispatch::State();
        m_state.m_token.m_value = token;
        dispatch::takeOver(m_state, environment(), m_now, {m_now, {}});
        std::vector<workers::Registration> registrations;
        for (std::uint16_t i = 0; i < tasks; ++i) {
            registrations.push_back(registration(i));
        }
        dispatch::onListRead(m_state, environment(), registrations, {m_now, {}});
    }

    dispatch::Environment environment()
    {
        return {m_journal, m_catalog, m_zonesOut, m_waves};
    }

    static workers::WorkerIncarnation worker(std::uint16_t number)
    {
        return {fleet::WorkerId("w" + std::to_string(number)), 1};
    }

    workers::Registration registration(std::uint16_t number) const
    {
        workers::Registration entry;
        entry.m_incarnation = worker(number);
        entry.m_capacity = {8000, 8000, 8};
        entry.m_warmUpLeft = number == m_warmingUp ? 5s : 0s;
        return entry;
    }

    jobs::RunId run(std::uint16_t task) const
    {
        return {{{m_job, 0, 0}, task}, 1};
    }

    void launchAll()
    {
        for (std::uint16_t task = 0; task < tasks; ++task) {
            dispatch::Context context {m_state, m_journal, m_catalog, m_zonesOut, m_waves, {m_now, {}}, {}, {}, {}, {}, {}, {}, {}};
            dispatch::launch(context, run(task), worker(task), {});
            m_state.m_runs.at(run(task)).m_phase = dispatch::RunPhase::Starting;
            workers::StartOrder order;
            order.m_target = worker(task);
            order.m_run = run(task);
            dispatch::onStartEnded(m_state, environment(), order, {workers::OrderOutcome::Done, 0, {}}, {m_now, {}});
        }
    }

    void report(std::uint16_t task, int percent)
    {
        workers::PollResult result = answer();
        workers::RunningTask running;
        running.m_run = run(task);
        running.m_percent = percent;
        result.m_running.push_back(running);
        poll(task, result);
    }

    void reportEnd(std::uint16_t task, jobs::RunEnd end)
    {
        workers::PollResult result = answer();
        result.m_ended.push_back({1, run(task), end, {}});
        poll(task, result);
    }

    workers::PollResult answer() const
    {
        workers::PollResult result;
        result.m_outcome = workers::PollOutcome::Answered;
        result.m_startedAtMs = 1;
        return result;
    }

    void poll(std::uint16_t task, const workers::PollResult &result)
    {
        workers::PollOrder order;
        order.m_target = worker(task);
        dispatch::onPollEnded(m_state, environment(), order, m_now, result, {m_now, {}});
    }

    /// Reports the progress of the tasks 0 to 2 after 1 s each 50%, and of task 3 25%.
    void workForASecond(int percentBefore)
    {
        m_now += 1s;
        for (std::uint16_t task = 0; task < tasks; ++task) {
            report(task, percentBefore + (task == 3 ? 25 : 50));
        }
    }

    run_times::WorkerSpeed speed(std::uint16_t number) const
    {
        return run_times::speedOf(m_state.m_runTimes, worker(number), m_now);
    }

    std::size_t sampledRuns() const
    {
        const run_times::StepHistory *step = m_state.m_runTimes.m_steps.find({m_job, 0, 0});
        return step == nullptr ? 0 : step->m_runs.size();
    }

    static constexpr std::uint16_t tasks = 4;
    jobs::JobId m_job {7};
    int m_warmingUp = -1;
    fleet::BootTime m_now = begin;
    journal::JournalState m_journal;
    catalog::Catalog m_catalog;
    std::set<fleet::ZoneId> m_zonesOut;
    std::map<std::string, catalog::UpkeepWave> m_waves;
    dispatch::State m_state;
};

}

/// Guards against speeds that are known only once runs have ended.
Test(runTimeSamples, progress_showsTheSpeedBeforeTheEnd)
{
    HolderFixture fixture;
    fixture.launchAll();
    fixture.workForASecond(0);
    cr_assert_gt(fixture.speed(3).m_factor, 1.4);
    cr_assert_float_eq(fixture.speed(0).m_factor, 1, 0.1);
    cr_assert_eq(fixture.sampledRuns(), 4);
}

/// Guards against progress reports that count as further runs, and against an end that adds one more.
Test(runTimeSamples, manyReportsAndTheEnd_countAsOneRun)
{
    HolderFixture fixture;
    fixture.launchAll();
    for (int percent = 5; percent < 100; percent += 5) {
        fixture.m_now += 100ms;
        for (std::uint16_t task = 0; task < HolderFixture::tasks; ++task) {
            fixture.report(task, percent);
        }
    }
    fixture.m_now += 100ms;
    for (std::uint16_t task = 0; task < HolderFixture::tasks; ++task) {
        fixture.reportEnd(task, jobs::RunEnd::Done);
    }
    cr_assert_eq(fixture.sampledRuns(), 4);
    cr_assert_lt(fixture.speed(0).m_confidence, 0.5);
    cr_assert_eq(fixture.m_state.m_calibration.m_runs, 4);
    cr_assert_eq(fixture.m_state.m_calibration.meanEstimateError(), 69);
    cr_assert(fixture.m_state.m_jobCalibrations.empty());
}

/// Guards against a successor that takes the time before its first report for progress that it saw, or that counts a run twice.
Test(runTimeSamples, successor_countsOnlyTheProgressThatItObserved)
{
    HolderFixture fixture;
    fixture.launchAll();
    fixture.workForASecond(0);
    fixture.m_now += 10s;
    fixture.hold(2);
    cr_assert_eq(fixture.speed(3).m_confidence, 0);
    fixture.m_now += 200ms;
    for (std::uint16_t task = 0; task < HolderFixture::tasks; ++task) {
        fixture.report(task, 60);
    }
    cr_assert_eq(fixture.sampledRuns(), 0);
    fixture.m_now += 1s;
    for (std::uint16_t task = 0; task < HolderFixture::tasks; ++task) {
        fixture.report(task, task == 3 ? 75 : 90);
    }
    cr_assert_eq(fixture.sampledRuns(), 4);
    cr_assert_gt(fixture.speed(3).m_factor, 1.4);
    const run_times::Expectation expected
        = run_times::expect(fixture.m_state.m_runTimes, dispatch::taskClassOf(fixture.m_journal.m_jobs.at(fixture.m_job).m_spec, 0), 1s, fixture.m_now);
    cr_assert_float_eq(expected.m_median.count(), 3333, 400, "%d ms", static_cast<int>(expected.m_median.count()));
    fixture.m_now += 500ms;
    fixture.reportEnd(0, jobs::RunEnd::Done);
    cr_assert_eq(fixture.sampledRuns(), 4);
    // 40% in 1.5 s, not the whole run in 1.5 s.
    cr_assert_float_eq(std::exp(fixture.m_state.m_runTimes.m_steps.find({fixture.m_job, 0, 0})->m_runs[0].m_logTime), 3750, 1);
    cr_assert_eq(fixture.m_state.m_calibration.m_runs, 0);
}

/// Guards against a run that ended before the successor heard of it, whose run time the successor cannot know.
Test(runTimeSamples, successor_learnsNothingFromAnEndWithoutProgress)
{
    HolderFixture fixture;
    fixture.launchAll();
    fixture.hold(2);
    fixture.m_now += 1s;
    fixture.reportEnd(0, jobs::RunEnd::Done);
    cr_assert_eq(fixture.sampledRuns(), 0);
}

/// Guards against a worker that counts as slow since it was warming up.
Test(runTimeSamples, workerThatIsWarmingUp_isIgnored)
{
    HolderFixture fixture;
    fixture.m_warmingUp = 3;
    fixture.hold(2);
    fixture.launchAll();
    fixture.workForASecond(0);
    fixture.workForASecond(25);
    cr_assert_eq(fixture.speed(3).m_confidence, 0);
    cr_assert_eq(fixture.sampledRuns(), 3);
}

/// Guards against progress from a checkpoint that counts as work of the run, which would make its worker look fast.
Test(runTimeSamples, progressOfACheckpoint_isNotCounted)
{
    HolderFixture fixture;
    fixture.launchAll();
    dispatch::RunState &resumed = fixture.m_state.m_runs.at(fixture.run(3));
    resumed.m_checkpoint = "p";
    resumed.m_observation = {};
    fixture.m_now += 500ms;
    fixture.report(3, 40);
    fixture.workForASecond(0);
    fixture.m_now += 1s;
    fixture.report(3, 65);
    cr_assert_gt(fixture.speed(3).m_factor, 1.3);
}

/// Guards against failures that count as short run times.
Test(runTimeSamples, failedRun_countsOnlyAsALowerBound)
{
    HolderFixture fixture;
    fixture.launchAll();
    fixture.m_now += 100ms;
    fixture.reportEnd(0, jobs::RunEnd::Failed);
    cr_assert_eq(fixture.sampledRuns(), 0);
}

/// Guards against the same for a run that ends before it reports progress.
Test(runTimeSamples, runThatEndsDuringWarmUp_isIgnored)
{
    HolderFixture fixture;
    fixture.m_warmingUp = 3;
    fixture.hold(2);
    fixture.launchAll();
    fixture.m_now += 1s;
    fixture.reportEnd(3, jobs::RunEnd::Done);
    cr_assert_eq(fixture.sampledRuns(), 0);
}

/// Guards against the time until a lease expires being counted as run time, since the worker may have stopped working long before.
Test(runTimeSamples, lostRun_countsUntilItsLastProgress)
{
    HolderFixture fixture;
    fixture.launchAll();
    fixture.workForASecond(0);
    fixture.m_now += 60s;
    fixture.reportEnd(3, jobs::RunEnd::LeaseExpired);
    cr_assert_float_eq(std::exp(fixture.m_state.m_runTimes.m_steps.find({fixture.m_job, 0, 0})->m_runs[3].m_logTime), 4000, 1);
}
