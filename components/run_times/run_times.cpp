#include "components/run_times/run_times.hpp"

#include "components/run_times/quantile.hpp"

#include <algorithm>
#include <cmath>
#include <optional>
#include <tuple>

namespace run_times
{

namespace
{

/// Workers report whole percents at polls, so that a projection from less progress is off by a quarter or more.
constexpr double minFraction = 0.05;
constexpr std::size_t maxRunsOfStep = 64;
constexpr std::size_t maxComparisons = 16;
constexpr std::size_t maxStepsOfClass = 16;
/// Limit of the influence of one run on a worker's factor, as a logarithm; about twice the spread of the tasks of a step.
constexpr double influenceLimit = 0.3;
/// Weight of the assumption that a worker is usual, in runs: the variance of the tasks of a step over that of the workers.
constexpr double priorWeight = 0.25;
/// With this many runs, the confidence in a worker's factor is one half.
constexpr double halfConfidenceRuns = 1;
/// With this many steps, the confidence in the times of a class is one half.
constexpr double halfConfidenceSteps = 1;
/// Weight of a run on an unknown worker as part of the reference, relative to one on a known worker, whose factor is removed.
constexpr double unknownWorkerWeight = 0.25;
/// With a reference of this weight, a comparison counts one half.
constexpr double halfWeightReference = 1;
/// Comparisons of the previous incarnation of a worker keep this part of their weight: the cause of the restart may have changed it.
constexpr double restartWeight = 0.25;
/// A worker's factor is constant over a day unless its machine changes, which shows in the comparisons that follow.
constexpr fleet::Duration halfLife = std::chrono::hours(2);
/// Spread of the tasks of a step, as a logarithm, and what remains of it with many runs.
constexpr double taskSpread = 0.2;
constexpr double leastSpread = 0.02;
/// Workers of lower confidence don't count in the distribution of factors.
constexpr double minDistributionConfidence = 0.5;
/// The distribution of factors is derived once in this many samples, so that the work of an update does not grow with the workers.
constexpr std::uint64_t samplesPerDistribution = 16;
/// An earlier step is compared again once in this many samples; more often makes the factors no better.
constexpr std::uint64_t samplesPerRefinement = 8;
/// All workers of a step are compared again once its usual time has moved by this logarithm, or its runs have become half as many again,
/// which bounds the work of an update.
constexpr double comparisonStep = 0.03;
/// Quantile of a step's tasks, and of the steps of a class, that "high" stands for.
constexpr double highLevel = 0.9;
/// Logarithm of high over median if only the caller's estimate is known; estimates are often half of the run time.
constexpr double unknownSpread = 0.7;
/// Least weight of an unknown spread between the steps of a class, which falls with their number.
constexpr double firstStepSpread = 0.5;
/// A gang's run time bounds the factors of its members only if this many other steps of its class show what is usual.
constexpr std::size_t minStepsForGangBound = 3;
constexpr double gangBoundWeight = 0.5;
constexpr RunKey unnamedRun = RunKey(1) << 63;
constexpr int bitsOfRunNumber = 32;

double decay(fleet::Duration age)
{
    return std::exp2(-static_cast<double>(std::max(age, fleet::Duration(0)).count()) / static_cast<double>(halfLife.count()));
}

/// Returns the history of the worker if it is of this incarnation or an earlier one.
const WorkerHistory *findHistory(const Model &model, const workers::WorkerIncarnation &worker)
{
    const WorkerHistory *history = model.m_workers.find(worker.m_worker);
    return history == nullptr || history->m_startedAtMs > worker.m_startedAtMs ? nullptr : history;
}

struct LogSpeed
{
    double m_logFactor = 0;
    double m_confidence = 0;
};

LogSpeed logSpeedOf(const Model &model, const workers::WorkerIncarnation &worker, fleet::BootTime now)
{
    const WorkerHistory *history = findHistory(model, worker);
    if (history == nullptr) {
        return {};
    }
    const bool isRestarted = history->m_startedAtMs < worker.m_startedAtMs;
    const double weight = history->m_weight * decay(now - history->m_updatedAt) * (isRestarted ? restartWeight : 1);
    return {history->m_logFactor, weight / (weight + halfConfidenceRuns)};
}

/// A run of a step without the influence of its worker's factor, as far as that is known.
struct AdjustedRun
{
    const StepRun *m_run = nullptr;
    double m_logTime = 0;
    /// Weight as part of the reference for other workers.
    double m_weight = 0;
};

std::vector<AdjustedRun> adjustedRuns(const Model &model, const StepHistory &step, fleet::BootTime now)
{
    std::vector<AdjustedRun> runs;
    runs.reserve(step.m_runs.size());
    for (const StepRun &run : step.m_runs) {
        const LogSpeed speed = logSpeedOf(model, run.m_worker, now);
        const double weight = run.m_isLowerBound ? 0 : unknownWorkerWeight + (1 - unknownWorkerWeight) * speed.m_confidence;
        runs.push_back({&run, run.m_logTime - speed.m_logFactor, weight});
    }
    std::sort(runs.begin(), runs.end(), [](const AdjustedRun &a, const AdjustedRun &b) {
        return a.m_logTime < b.m_logTime;
    });
    return runs;
}

/// Usual run time of a step on the workers other than one.
struct Reference
{
    double m_logTime = 0;
    double m_weight = 0;
};

std::optional<Reference> referenceWithout(const std::vector<AdjustedRun> &sorted, const workers::WorkerIncarnation &worker)
{
    std::vector<double> times;
    times.reserve(sorted.size());
    double weight = 0;
    for (const AdjustedRun &run : sorted) {
        if (run.m_run->m_worker != worker) {
            times.push_back(run.m_logTime);
            weight += run.m_weight;
        }
    }
    if (weight <= 0) {
        return std::nullopt;
    }
    const std::size_t middle = times.size() / 2;
    return Reference {times.size() % 2 == 1 ? times[middle] : (times[middle - 1] + times[middle]) / 2, weight};
}

double distributionWeight(const WorkerHistory &history)
{
    return std::max(0.0, history.m_weight / (history.m_weight + halfConfidenceRuns) - minDistributionConfidence);
}

/// Makes the mean logarithm of the factors 0 and derives their distribution. Only the ratios of factors follow from comparisons: without
/// a fixed mean, all of them would rise with the first ends, which come from fast workers.
void updateDistribution(Model &model)
{
    double sum = 0;
    double total = 0;
    model.m_workers.forEach([&](const WorkerHistory &history) {
        const double weight = history.m_weight / (history.m_weight + halfConfidenceRuns);
        sum += weight * history.m_logFactor;
        total += weight;
    });
    const double mean = total > 0 ? sum / total : 0;
    model.m_distribution = {};
    model.m_workers.forEach([&](WorkerHistory &history) {
        // The comparisons move too, since the reference of each one was made of times divided by factors.
        for (Comparison &comparison : history.m_comparisons) {
            comparison.m_logRatio -= mean;
        }
        history.m_logMean -= mean;
        history.m_logFactor -= mean;
        if (distributionWeight(history) > 0) {
            model.m_distribution.add(history.m_logMean, distributionWeight(history));
        }
    });
}

void updateFactor(const Model &model, WorkerHistory &history, fleet::BootTime now)
{
    const double ownWeight = distributionWeight(history);
    std::vector<WeightedValue> values;
    values.reserve(history.m_comparisons.size());
    history.m_weight = 0;
    for (const Comparison &comparison : history.m_comparisons) {
        const double weight = comparison.m_weight * decay(now - comparison.m_at);
        values.push_back({comparison.m_logRatio, weight});
        history.m_weight += weight;
    }
    history.m_updatedAt = now;
    if (values.empty() || history.m_weight <= 0) {
        history.m_logFactor = 0;
        return;
    }
    history.m_logMean = limitedMean(std::move(values), influenceLimit);
    const double variance = taskSpread * taskSpread / history.m_weight + leastSpread * leastSpread;
    const double trust = history.m_weight / (history.m_weight + priorWeight);
    const double expected = model.m_distribution.expected(history.m_logMean, variance, ownWeight);
    history.m_logFactor = trust * expected;
}

/// Returns the history of the worker for a change, or null if a later incarnation is known. A restart lowers the weight of what was
/// learned before.
WorkerHistory *historyForUpdate(Model &model, const workers::WorkerIncarnation &worker)
{
    WorkerHistory &history = model.m_workers.use(worker.m_worker);
    if (worker.m_startedAtMs < history.m_startedAtMs) {
        return nullptr;
    }
    if (worker.m_startedAtMs > history.m_startedAtMs) {
        for (Comparison &comparison : history.m_comparisons) {
            comparison.m_weight *= restartWeight;
        }
        history.m_startedAtMs = worker.m_startedAtMs;
    }
    return &history;
}

/// Adds the comparison, or replaces the earlier one of the run. With `onlyReplaces`, nothing is added.
void addComparison(Model &model, const workers::WorkerIncarnation &worker, const Comparison &comparison, fleet::BootTime now, bool onlyReplaces = false)
{
    WorkerHistory *history = historyForUpdate(model, worker);
    if (history == nullptr) {
        return;
    }
    std::vector<Comparison> &comparisons = history->m_comparisons;
    const auto known = std::find_if(comparisons.begin(), comparisons.end(), [&](const Comparison &other) {
        return other.m_run == comparison.m_run && other.m_step == comparison.m_step;
    });
    if (known != comparisons.end()) {
        *known = comparison;
    } else if (onlyReplaces) {
        return;
    } else {
        if (comparisons.size() >= maxComparisons) {
            comparisons.erase(comparisons.begin());
        }
        comparisons.push_back(comparison);
    }
    updateFactor(model, *history, now);
}

void compare(Model &model, const jobs::StepId &step, const std::vector<AdjustedRun> &runs, const StepRun &run, fleet::BootTime now, bool onlyReplaces = false)
{
    const std::optional<Reference> reference = referenceWithout(runs, run.m_worker);
    if (run.m_isLowerBound || !reference) {
        return;
    }
    const double weight = reference->m_weight / (reference->m_weight + halfWeightReference);
    addComparison(model, run.m_worker, {step, run.m_run, run.m_logTime - reference->m_logTime, weight, run.m_at}, now, onlyReplaces);
}

double usualTime(const std::vector<AdjustedRun> &sorted)
{
    const std::size_t middle = sorted.size() / 2;
    return sorted.size() % 2 == 1 ? sorted[middle].m_logTime : (sorted[middle - 1].m_logTime + sorted[middle].m_logTime) / 2;
}

ClassStep &classStepFor(ClassHistory &history, const jobs::StepId &step)
{
    const auto known = std::find_if(history.m_steps.begin(), history.m_steps.end(), [&](const ClassStep &other) {
        return other.m_step == step;
    });
    if (known != history.m_steps.end()) {
        return *known;
    }
    if (history.m_steps.size() >= maxStepsOfClass) {
        history.m_steps.erase(history.m_steps.begin());
    }
    history.m_steps.push_back({step});
    return history.m_steps.back();
}

void updateClass(Model &model, const Sample &sample, double logTime, double logSpread)
{
    const double logEstimate = std::log(std::max<double>(1, static_cast<double>(sample.m_estimate.count())));
    classStepFor(model.m_classes.use(sample.m_class), sample.m_step) = {sample.m_step, logTime, logTime - logEstimate, logSpread};
}

/// Compares the runs of the step that follows in turn again, since the factors of its workers are known better by now. Runs that the
/// workers have forgotten since are not added again.
void refineNextStep(Model &model, fleet::BootTime now)
{
    const auto [id, step] = model.m_steps.next(model.m_refinedStep);
    model.m_refinedStep = id;
    if (step.m_comparedRuns == 0) {
        return;
    }
    const std::vector<AdjustedRun> runs = adjustedRuns(model, step, now);
    for (const StepRun &run : step.m_runs) {
        compare(model, id, runs, run, now, true);
    }
}

void learnFromTasks(Model &model, const Sample &sample, StepHistory &step, const StepRun &latest, fleet::BootTime now)
{
    const std::vector<AdjustedRun> runs = adjustedRuns(model, step, now);
    const double usual = usualTime(runs);
    const bool isReferenceLarger = 2 * runs.size() > 3 * step.m_comparedRuns;
    if (isReferenceLarger || std::abs(usual - step.m_comparedWith) > comparisonStep) {
        step.m_comparedRuns = runs.size();
        step.m_comparedWith = usual;
        for (const StepRun &run : step.m_runs) {
            compare(model, sample.m_step, runs, run, now);
        }
    } else {
        compare(model, sample.m_step, runs, latest, now);
    }
    const std::size_t high = static_cast<std::size_t>(highLevel * static_cast<double>(runs.size() - 1));
    updateClass(model, sample, usual, runs[high].m_logTime - usual);
    ++model.m_samples;
    if (model.m_samples % samplesPerRefinement == 0) {
        refineNextStep(model, now);
    }
    if (model.m_samples % samplesPerDistribution == 0) {
        updateDistribution(model);
    }
}

/// The members of a gang end together, so its run time shows only that no member is slower. Compared with the other gangs of its class,
/// it bounds the factors of its members from above.
void learnFromGang(Model &model, const Sample &sample, const StepHistory &step, const StepRun &latest, fleet::BootTime now)
{
    std::vector<double> times;
    double slowest = 0;
    bool isAnyKnown = false;
    for (const StepRun &run : step.m_runs) {
        const LogSpeed speed = logSpeedOf(model, run.m_worker, now);
        times.push_back(run.m_logTime);
        if (speed.m_confidence > 0) {
            slowest = isAnyKnown ? std::max(slowest, speed.m_logFactor) : speed.m_logFactor;
            isAnyKnown = true;
        }
    }
    const double usual = median(times) - slowest;
    std::vector<double> others;
    if (const ClassHistory *history = model.m_classes.find(sample.m_class)) {
        for (const ClassStep &other : history->m_steps) {
            if (other.m_step != sample.m_step) {
                others.push_back(other.m_logTime);
            }
        }
    }
    if (!latest.m_isLowerBound && others.size() >= minStepsForGangBound) {
        const double bound = latest.m_logTime - median(others);
        const LogSpeed speed = logSpeedOf(model, latest.m_worker, now);
        if (speed.m_confidence > 0 && speed.m_logFactor > bound) {
            addComparison(model, latest.m_worker, {sample.m_step, latest.m_run, bound, gangBoundWeight, now}, now);
        }
    }
    updateClass(model, sample, usual, 0);
}

/// Returns the run after it was added or replaced, or null if the sample adds nothing to what is known about it.
const StepRun *updateRun(StepHistory &step, const StepRun &run)
{
    const auto known = std::find_if(step.m_runs.begin(), step.m_runs.end(), [&](const StepRun &other) {
        return other.m_run == run.m_run;
    });
    if (known != step.m_runs.end()) {
        if (known->m_isDone || (run.m_isLowerBound && run.m_logTime <= known->m_logTime)) {
            return nullptr;
        }
        *known = run;
        return &*known;
    }
    if (step.m_runs.size() >= maxRunsOfStep) {
        step.m_runs.erase(step.m_runs.begin());
    }
    step.m_runs.push_back(run);
    return &step.m_runs.back();
}

/// True if the run has taken longer than the step's median, so that its lower bound says more than that it ran.
bool isAboveMedian(const StepHistory &step, const StepRun &run)
{
    std::vector<double> times;
    for (const StepRun &other : step.m_runs) {
        times.push_back(other.m_logTime);
    }
    return !times.empty() && run.m_logTime > median(std::move(times));
}

void learnRun(Model &model, RunKey key, const Sample &sample, fleet::BootTime now)
{
    const bool isLowerBound = !sample.m_isDone && sample.m_fraction <= 0;
    if (sample.m_ran.count() <= 0 || (!isLowerBound && sample.m_fraction < minFraction)) {
        return;
    }
    const double fraction = isLowerBound ? 1 : std::min(sample.m_fraction, 1.0);
    const double logTime = std::log(static_cast<double>(sample.m_ran.count()) / fraction);
    StepHistory &step = model.m_steps.use(sample.m_step);
    const StepRun run {key, sample.m_worker, logTime, now, isLowerBound, sample.m_isDone};
    if (isLowerBound && !isAboveMedian(step, run)) {
        return;
    }
    const StepRun *latest = updateRun(step, run);
    if (latest == nullptr) {
        return;
    }
    if (sample.m_isGang) {
        learnFromGang(model, sample, step, *latest, now);
    } else {
        learnFromTasks(model, sample, step, *latest, now);
    }
}

}

bool operator<(const TaskClass &a, const TaskClass &b)
{
    const auto fields = [](const TaskClass &c) {
        return std::tie(c.m_account, c.m_queue, c.m_step, c.m_perTask.m_milliCores, c.m_perTask.m_memoryMb, c.m_perTask.m_accelerators);
    };
    return fields(a) < fields(b);
}

void learn(Model &model, const Sample &sample, fleet::BootTime now)
{
    learnRun(model, unnamedRun | ++model.m_unnamedRuns, sample, now);
}

void learn(Model &model, const jobs::RunId &run, const Sample &sample, fleet::BootTime now)
{
    learnRun(model, (RunKey(run.m_task.m_index) << bitsOfRunNumber) | run.m_run, sample, now);
}

WorkerSpeed speedOf(const Model &model, const workers::WorkerIncarnation &worker, fleet::BootTime now)
{
    const LogSpeed speed = logSpeedOf(model, worker, now);
    return {std::exp(speed.m_logFactor), speed.m_confidence};
}

Expectation expect(const Model &model, const TaskClass &taskClass, fleet::Duration estimate, fleet::BootTime)
{
    const double logEstimate = std::log(std::max<double>(1, static_cast<double>(estimate.count())));
    const auto toDuration = [](double logTime) {
        return fleet::Duration(static_cast<std::int64_t>(std::llround(std::exp(logTime))));
    };
    const ClassHistory *history = model.m_classes.find(taskClass);
    if (history == nullptr || history->m_steps.empty()) {
        return {estimate, toDuration(logEstimate + unknownSpread), 0};
    }
    std::vector<double> times;
    std::vector<double> ratios;
    double spreadWithin = 0;
    for (const ClassStep &step : history->m_steps) {
        times.push_back(step.m_logTime);
        ratios.push_back(step.m_logRatio);
        spreadWithin += step.m_logSpread;
    }
    const double count = static_cast<double>(times.size());
    spreadWithin /= count;
    const bool usesTime = deviation(times) < deviation(ratios);
    const std::vector<double> &values = usesTime ? times : ratios;
    const double middle = median(values);
    const double spreadBetween = std::max(quantile(values, highLevel) - middle, firstStepSpread / count);
    const double logMedian = usesTime ? middle : middle + logEstimate;
    return {toDuration(logMedian), toDuration(logMedian + std::hypot(spreadWithin, spreadBetween)), count / (count + halfConfidenceSteps)};
}

}
