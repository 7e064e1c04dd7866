#include "components/run_times/run_times.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <criterion/criterion.h>

namespace
{

using namespace std::chrono_literals;

constexpr fleet::BootTime begin {100s};

workers::WorkerIncarnation workerNumber(int number, std::int64_t startedAtMs = 1)
{
    return {fleet::WorkerId("w" + std::to_string(number)), startedAtMs};
}

run_times::TaskClass someClass()
{
    return {fleet::AccountId("a"), fleet::QueueId("q"), 0, {1000, 512, 1}};
}

run_times::Sample sampleOf(std::uint64_t job, int worker, fleet::Duration ran)
{
    return {{{job}, 0, 0}, someClass(), workerNumber(worker), 1s, ran, 1, false, true};
}

/// Steps of 10 tasks on workers of three speeds, with the spread and the slow tasks of the recorded load.
struct FleetFixture
{
    double trueFactor(int worker) const
    {
        return std::array {0.6, 1.0, 1.5}[static_cast<std::size_t>(worker) % 3];
    }

    void runSteps(int steps)
    {
        std::lognormal_distribution<double> taskSpread(0, 0.16);
        std::uniform_real_distribution<double> stepTime(500, 5000);
        std::bernoulli_distribution isSlow(0.03);
        for (int step = 0; step < steps; ++step) {
            const double usual = stepTime(m_random);
            ++m_job;
            std::vector<std::pair<double, int>> ends;
            for (int task = 0; task < 10; ++task) {
                const int worker = m_next++ % workers;
                ends.emplace_back(usual * trueFactor(worker) * taskSpread(m_random) * (isSlow(m_random) ? 7 : 1), worker);
            }
            if (m_endsInOrderOfTime) {
                std::sort(ends.begin(), ends.end());
            }
            for (const auto &[ran, worker] : ends) {
                run_times::learn(m_model, sampleOf(m_job, worker, fleet::Duration(static_cast<std::int64_t>(ran))), begin);
            }
        }
    }

    double meanLogFactor() const
    {
        double sum = 0;
        for (int worker = 0; worker < workers; ++worker) {
            sum += std::log(run_times::speedOf(m_model, workerNumber(worker), begin).m_factor);
        }
        return sum / workers;
    }

    double meanError() const
    {
        double sum = 0;
        for (int worker = 0; worker < workers; ++worker) {
            sum += std::abs(run_times::speedOf(m_model, workerNumber(worker), begin).m_factor / trueFactor(worker) - 1);
        }
        return sum / workers;
    }

    static constexpr int workers = 31;
    std::mt19937 m_random {20261206};
    int m_next = 0;
    bool m_endsInOrderOfTime = false;
    std::uint64_t m_job = 0;
    run_times::Model m_model;
};

}

/// Guards against factors that need more than 5 runs on a worker, and against slow tasks that spoil them.
Test(runTimes, factorsAreRightWithinTenPercentAfterFiveRuns)
{
    FleetFixture fixture;
    fixture.runSteps(5 * FleetFixture::workers / 10 + 1);
    cr_assert_lt(fixture.meanError(), 0.1, "mean error %f", fixture.meanError());
    fixture.runSteps(10 * FleetFixture::workers / 10);
    cr_assert_lt(fixture.meanError(), 0.08, "mean error %f", fixture.meanError());
}

/// Guards against factors that all rise, which the ends of a step show in the order of its workers' speeds, and against a correction of
/// this that does not settle.
Test(runTimes, usualFactorStaysAtOne)
{
    FleetFixture fixture;
    fixture.m_endsInOrderOfTime = true;
    for (int step = 1; step <= 60; ++step) {
        fixture.runSteps(1);
        cr_assert_lt(std::abs(fixture.meanLogFactor()), 0.1, "step %d: %f", step, fixture.meanLogFactor());
    }
}

Test(runTimes, unknownWorkerIsUsual)
{
    const run_times::Model model;
    cr_assert(run_times::speedOf(model, workerNumber(1), begin) == run_times::WorkerSpeed());
}

/// Guards against factors from steps that ran on a single worker, which show nothing about it.
Test(runTimes, singleWorkerHasNoReference)
{
    run_times::Model model;
    for (int task = 0; task < 5; ++task) {
        run_times::learn(model, sampleOf(1, 1, 3s), begin);
    }
    cr_assert_eq(run_times::speedOf(model, workerNumber(1), begin).m_confidence, 0);
}

/// Guards against a run that counts once for each of its progress reports.
Test(runTimes, progressOfARunCountsOnce)
{
    run_times::Model model;
    run_times::Model other;
    const auto learnRun = [](run_times::Model &target, std::uint16_t task, int worker, fleet::Duration ran, double fraction) {
        run_times::Sample sample = sampleOf(1, worker, ran);
        sample.m_fraction = fraction;
        sample.m_isDone = fraction == 1;
        run_times::learn(target, {{sample.m_step, task}, 1}, sample, begin);
    };
    for (run_times::Model *target : {&model, &other}) {
        for (std::uint16_t task = 0; task < 4; ++task) {
            learnRun(*target, task, task, 1s, 1);
        }
    }
    learnRun(other, 4, 4, 2s, 1);
    for (int percent = 10; percent <= 100; percent += 10) {
        learnRun(model, 4, 4, fleet::Duration(percent * 20), percent / 100.0);
    }
    const run_times::WorkerSpeed speed = run_times::speedOf(model, workerNumber(4), begin);
    cr_assert_float_eq(speed.m_factor, run_times::speedOf(other, workerNumber(4), begin).m_factor, 0.01);
    cr_assert_float_eq(speed.m_confidence, run_times::speedOf(other, workerNumber(4), begin).m_confidence, 0.01);
    cr_assert_gt(speed.m_factor, 1.5);
}

/// Guards against a single slow task that marks its worker as slow.
Test(runTimes, oneSlowTaskHasBoundedInfluence)
{
    run_times::Model model;
    for (std::uint64_t step = 1; step <= 5; ++step) {
        for (int worker = 0; worker < 5; ++worker) {
            run_times::learn(model, sampleOf(step, worker, step == 3 && worker == 0 ? 7s : 1s), begin);
        }
    }
    cr_assert_lt(run_times::speedOf(model, workerNumber(0), begin).m_factor, 1.1);
}

/// Guards against trust in a worker that restarted, and in samples that are old.
Test(runTimes, confidenceFallsWithARestartAndWithTime)
{
    FleetFixture fixture;
    fixture.runSteps(30);
    const double confidence = run_times::speedOf(fixture.m_model, workerNumber(2), begin).m_confidence;
    cr_assert_gt(confidence, 0.7);
    cr_assert_lt(run_times::speedOf(fixture.m_model, workerNumber(2, 2), begin).m_confidence, confidence - 0.1);
    cr_assert_lt(run_times::speedOf(fixture.m_model, workerNumber(2), begin + 8h).m_confidence, confidence - 0.1);
    cr_assert_eq(run_times::speedOf(fixture.m_model, workerNumber(2, 0), begin).m_confidence, 0);
}

/// Guards against the members of a gang being taken for as slow as its slowest one.
Test(runTimes, gangDoesNotMakeItsMembersSlow)
{
    run_times::Model model;
    for (std::uint64_t step = 1; step <= 6; ++step) {
        for (int worker = 0; worker < 4; ++worker) {
            run_times::Sample sample = sampleOf(step, worker, step == 6 ? 10s : 1s);
            sample.m_isGang = true;
            run_times::learn(model, sample, begin);
        }
    }
    cr_assert_eq(run_times::speedOf(model, workerNumber(0), begin).m_confidence, 0);
}

/// Guards against a worker that stays slow in the model although a fast gang shows that it isn't.
Test(runTimes, fastGangBoundsTheFactorOfItsMembers)
{
    FleetFixture fixture;
    fixture.runSteps(15);
    const double before = run_times::speedOf(fixture.m_model, workerNumber(2), begin).m_factor;
    run_times::TaskClass gangs = someClass();
    gangs.m_step = 1;
    for (std::uint64_t step = 1001; step <= 1008; ++step) {
        run_times::Sample sample = sampleOf(step, step < 1004 ? 1 : 2, 1s);
        sample.m_class = gangs;
        sample.m_isGang = true;
        run_times::learn(fixture.m_model, sample, begin);
    }
    cr_assert_lt(run_times::speedOf(fixture.m_model, workerNumber(2), begin).m_factor, before - 0.05);
}

/// Guards against an account that gains by wrong estimates, and against its estimates spoiling the times of others.
Test(runTimes, ratioToTheEstimateIsLearnedByClass)
{
    run_times::Model model;
    for (std::uint64_t step = 1; step <= 5; ++step) {
        for (int worker = 0; worker < 5; ++worker) {
            run_times::Sample sample = sampleOf(step, worker, step * 1s);
            sample.m_estimate = step * 100ms;
            run_times::learn(model, sample, begin);
        }
    }
    const run_times::Expectation expectation = run_times::expect(model, someClass(), 800ms, begin);
    cr_assert_float_eq(expectation.m_median.count(), 8000, 100);
    cr_assert_geq(expectation.m_high, expectation.m_median);
    run_times::TaskClass other = someClass();
    other.m_account = fleet::AccountId("b");
    cr_assert_eq(run_times::expect(model, other, 800ms, begin).m_median, 800ms);
    cr_assert_eq(run_times::expect(model, other, 800ms, begin).m_confidence, 0);
}

/// Guards against estimates that vary without reason and are preferred to stable run times.
Test(runTimes, absoluteTimeIsUsedIfItVariesLess)
{
    run_times::Model model;
    for (std::uint64_t step = 1; step <= 6; ++step) {
        run_times::Sample sample = sampleOf(step, 1, 2s);
        sample.m_estimate = step * 300ms;
        run_times::learn(model, sample, begin);
    }
    cr_assert_float_eq(run_times::expect(model, someClass(), 100ms, begin).m_median.count(), 2000, 50);
}

/// Guards against failed runs that count as short run times.
Test(runTimes, endedWithoutProgressCountsOnlyAsALowerBound)
{
    run_times::Model model;
    for (int worker = 0; worker < 4; ++worker) {
        run_times::learn(model, sampleOf(1, worker, 2s), begin);
    }
    run_times::Sample failed = sampleOf(1, 5, 10ms);
    failed.m_fraction = 0;
    failed.m_isDone = false;
    for (int i = 0; i < 20; ++i) {
        run_times::learn(model, failed, begin);
    }
    cr_assert_float_eq(run_times::expect(model, someClass(), 1s, begin).m_median.count(), 2000, 50);
    cr_assert_eq(run_times::speedOf(model, workerNumber(5), begin).m_confidence, 0);
}

/// Guards against memory that grows with the number of jobs, workers or accounts.
Test(runTimes, sizesAreBounded)
{
    run_times::Model model;
    for (int i = 0; i < 3000; ++i) {
        for (int worker : {i, i + 1}) {
            run_times::Sample sample = sampleOf(static_cast<std::uint64_t>(i) + 1, worker, 1s);
            sample.m_class.m_account = fleet::AccountId("a" + std::to_string(i));
            run_times::learn(model, sample, begin);
        }
    }
    cr_assert_eq(model.m_workers.size(), run_times::maxWorkers);
    cr_assert_eq(model.m_steps.size(), run_times::maxSteps);
    cr_assert_eq(model.m_classes.size(), run_times::maxClasses);
}
