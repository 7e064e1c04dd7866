#include "components/dispatch/run_time_samples.hpp"

#include "components/dispatch/context.hpp"
#include "components/dispatch/runs.hpp"
#include "components/jobs/job_spec.hpp"
#include "components/run_times/run_times.hpp"

#include <algorithm>
#include <cmath>

namespace dispatch
{

namespace
{

constexpr int wholePercent = 100;
/// Whole percents are reported, so that less progress shows the run time with an error of more than a tenth.
constexpr int minSampledPercent = 10;
/// A run is sampled again once its observed progress has grown by this factor, which gives at most four samples before its end.
constexpr int sampleGrowth = 2;
constexpr double thousandths = 1000;

const jobs::JobSpec &specOf(const Context &context, const jobs::RunId &id)
{
    return context.m_journalState.m_jobs.at(id.m_task.m_step.m_job).m_spec;
}

/// Long-running tasks do not end by themselves, and best-effort tasks are as fast as their neighbours allow.
bool hasRunTime(const jobs::StepSpec &step)
{
    return !step.m_isLongRunning && !step.m_usesIdleProcessor && step.m_estimate.count() > 0;
}

bool isWarmingUp(const Context &context, const RunState &run)
{
    const auto worker = context.m_state.m_workers.find(run.m_incarnation.m_worker);
    return worker != context.m_state.m_workers.end() && worker->second.m_registration.m_warmUpLeft.count() > 0;
}

run_times::Sample makeSample(const Context &context, const jobs::RunId &id, const RunState &run)
{
    const jobs::StepSpec &step = stepOf(context, id.m_task.m_step);
    run_times::Sample sample;
    sample.m_step = id.m_task.m_step;
    sample.m_class = taskClassOf(specOf(context, id), id.m_task.m_step.m_step);
    sample.m_worker = run.m_incarnation;
    sample.m_estimate = step.m_estimate;
    sample.m_isGang = step.m_isGang;
    return sample;
}

void learnFrom(Context &context, const jobs::RunId &id, const run_times::Sample &sample)
{
    run_times::learn(context.m_state.m_runTimes, id, sample, context.m_now.m_boot);
}

std::int64_t errorOf(fleet::Duration actual, fleet::Duration expected)
{
    const double ratio = static_cast<double>(std::max<std::int64_t>(1, actual.count())) / static_cast<double>(std::max<std::int64_t>(1, expected.count()));
    return std::llround(thousandths * std::abs(std::log(ratio)));
}

void addTo(RunTimeCalibration &calibration, const RunObservation &observation, fleet::Duration estimate, fleet::Duration actual)
{
    ++calibration.m_runs;
    calibration.m_estimateErrors += errorOf(actual, estimate);
    calibration.m_modelErrors += errorOf(actual, observation.m_expected);
    calibration.m_withinHigh += actual <= observation.m_expectedHigh ? 1 : 0;
}

void calibrate(Context &context, const jobs::RunId &id, const RunObservation &observation, const run_times::Sample &sample)
{
    if (observation.m_expected.count() == 0) {
        return;
    }
    addTo(context.m_state.m_calibration, observation, sample.m_estimate, sample.m_ran);
    const jobs::JobId &job = id.m_task.m_step.m_job;
    // Entries are removed when the job is over, and must not be added again by runs that end later.
    if (context.m_state.m_activeJobs.contains(job)) {
        addTo(context.m_state.m_jobCalibrations[job], observation, sample.m_estimate, sample.m_ran);
    }
}

void learnFromDone(Context &context, const jobs::RunId &id, const RunState &run)
{
    const RunObservation &observation = run.m_observation;
    run_times::Sample sample = makeSample(context, id, run);
    sample.m_ran = context.m_now.m_boot - *observation.m_since;
    const int observed = wholePercent - observation.m_percentAtBegin;
    if (observed < minSampledPercent) {
        return;
    }
    sample.m_fraction = static_cast<double>(observed) / wholePercent;
    sample.m_isDone = observation.m_isWhole;
    learnFrom(context, id, sample);
    if (observation.m_isWhole) {
        calibrate(context, id, observation, sample);
    }
}

/// A worker that is lost may have stopped working at any time since its last report.
bool isEndTimeKnown(jobs::RunEnd end)
{
    return end == jobs::RunEnd::Failed || end == jobs::RunEnd::Stopped;
}

}

run_times::TaskClass taskClassOf(const jobs::JobSpec &job, std::uint16_t step)
{
    return {job.m_account, job.m_queue, step, job.m_steps[step].m_perTask};
}

void expectRunTime(const Context &context, const jobs::RunId &id, RunState &run)
{
    const jobs::StepSpec &step = stepOf(context, id.m_task.m_step);
    // A gang is as slow as its slowest member, which is not known while its members are launched one by one.
    if (!hasRunTime(step) || step.m_isGang) {
        return;
    }
    const fleet::BootTime now = context.m_now.m_boot;
    const run_times::Model &model = context.m_state.m_runTimes;
    const run_times::Expectation expected = run_times::expect(model, taskClassOf(specOf(context, id), id.m_task.m_step.m_step), step.m_estimate, now);
    const double factor = run_times::speedOf(model, run.m_incarnation, now).m_factor;
    const auto onWorker = [factor](fleet::Duration duration) {
        return fleet::Duration(std::llround(static_cast<double>(duration.count()) * factor));
    };
    run.m_observation.m_expected = onWorker(expected.m_median);
    run.m_observation.m_expectedHigh = onWorker(expected.m_high);
}

void observeStart(Context &context, RunState &run)
{
    if (!run.m_checkpoint.empty() || isWarmingUp(context, run)) {
        return;
    }
    run.m_observation.m_since = context.m_now.m_boot;
    run.m_observation.m_isWhole = true;
}

void observeProgress(Context &context, const jobs::RunId &id, RunState &run)
{
    RunObservation &observation = run.m_observation;
    if (run.m_percent <= 0 || run.m_isStopRequested || !hasRunTime(stepOf(context, id.m_task.m_step))) {
        return;
    }
    if (isWarmingUp(context, run)) {
        observation.m_since.reset();
        observation.m_isWhole = false;
        return;
    }
    if (!observation.m_since) {
        observation.m_since = context.m_now.m_boot;
        observation.m_percentAtBegin = run.m_percent;
        observation.m_sampledPercent = 0;
        return;
    }
    const int observed = run.m_percent - observation.m_percentAtBegin;
    if (observed < std::max(minSampledPercent, observation.m_sampledPercent * sampleGrowth)) {
        return;
    }
    observation.m_sampledPercent = observed;
    run_times::Sample sample = makeSample(context, id, run);
    sample.m_ran = context.m_now.m_boot - *observation.m_since;
    sample.m_fraction = static_cast<double>(observed) / wholePercent;
    learnFrom(context, id, sample);
}

void observeEnd(Context &context, const jobs::RunId &id, const RunState &run, jobs::RunEnd end)
{
    if (!run.m_observation.m_since || !hasRunTime(stepOf(context, id.m_task.m_step)) || isWarmingUp(context, run)) {
        return;
    }
    if (end == jobs::RunEnd::Done) {
        learnFromDone(context, id, run);
    } else if (run.m_observation.m_isWhole) {
        run_times::Sample sample = makeSample(context, id, run);
        sample.m_ran = (isEndTimeKnown(end) ? context.m_now.m_boot : run.m_percentAt) - *run.m_observation.m_since;
        learnFrom(context, id, sample);
    }
}

}
