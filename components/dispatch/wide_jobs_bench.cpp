#include "components/allocations/allocation_counts.hpp"
#include "components/dispatch/scheduler_fixture.hpp"
#include "components/journal/snapshot.hpp"

#include <benchmark/benchmark.h>

namespace
{

using dispatch::SchedulerFixture;

/// What one client asks for, by the first argument of a benchmark: that many tasks in two steps, or that many times that have passed.
enum class Demand {
    Tasks,
    TimesThatCanRun,
    TimesWithoutWorker,
};

SchedulerFixture makeFixture(Demand demand, std::int64_t size)
{
    SchedulerFixture fixture;
    constexpr std::int64_t steps = 2;
    if (demand == Demand::Tasks) {
        fixture.accept(std::vector(steps, SchedulerFixture::smallTasks(static_cast<std::uint16_t>(size / steps))), 2);
    } else {
        jobs::StepSpec step = SchedulerFixture::smallTasks(1);
        step.m_requiredLabel = demand == Demand::TimesWithoutWorker ? "label-of-no-worker" : "";
        fixture.accept({step}, 2, SchedulerFixture::passedTimes(static_cast<std::uint32_t>(size)));
    }
    return fixture;
}

/// Runs the action on a copy of the fixture in each iteration, and reports the bytes that it allocates and keeps.
template<class Action>
void measure(benchmark::State &state, const SchedulerFixture &prepared, Action action)
{
    std::size_t allocated = 0;
    double kept = 0;
    for (auto _ : state) {
        state.PauseTiming();
        SchedulerFixture fixture = prepared;
        const allocations::AllocationCounts before = allocations::allocationCounts();
        state.ResumeTiming();
        action(fixture);
        state.PauseTiming();
        const allocations::AllocationCounts after = allocations::allocationCounts();
        allocated = after.m_allocated - before.m_allocated;
        kept = static_cast<double>(after.kept()) - static_cast<double>(before.kept());
        fixture = SchedulerFixture(0);
        state.ResumeTiming();
    }
    state.counters["allocated"] = static_cast<double>(allocated);
    state.counters["kept"] = kept;
}

void plan(benchmark::State &state, Demand demand)
{
    measure(state, makeFixture(demand, state.range(0)), [](SchedulerFixture &fixture) {
        fixture.runCycle();
    });
}

void refusedStart(benchmark::State &state, Demand demand)
{
    SchedulerFixture fixture = makeFixture(demand, state.range(0));
    fixture.runCycle();
    if (fixture.m_starts.empty()) {
        state.SkipWithError("nothing was started");
        return;
    }
    measure(state, fixture, [](SchedulerFixture &copy) {
        copy.endStart(copy.m_starts.front(), workers::OrderOutcome::NotSent);
    });
}

void tick(benchmark::State &state, Demand demand)
{
    SchedulerFixture fixture = makeFixture(demand, state.range(0));
    fixture.runCycle();
    measure(state, fixture, [](SchedulerFixture &copy) {
        copy.tick();
    });
}

void takeOver(benchmark::State &state, Demand demand)
{
    SchedulerFixture fixture = makeFixture(demand, state.range(0));
    fixture.runCycle();
    measure(state, fixture, [](SchedulerFixture &copy) {
        copy.takeOver();
    });
}

void snapshot(benchmark::State &state, Demand demand)
{
    SchedulerFixture fixture = makeFixture(demand, state.range(0));
    fixture.runCycle();
    std::size_t bytes = 0;
    for (auto _ : state) {
        bytes = 0;
        for (const store::KeyedRecord &record : journal::encodeSnapshot(fixture.m_journal, 1, 0)) {
            bytes += record.m_value.size();
        }
    }
    state.counters["bytes"] = static_cast<double>(bytes);
}

void addSizes(benchmark::internal::Benchmark *benchmark)
{
    benchmark->Arg(10)->Arg(1000)->Arg(100'000)->Unit(benchmark::kMicrosecond)->Iterations(3);
}

void addSizesOfTimes(benchmark::internal::Benchmark *benchmark)
{
    addSizes(benchmark);
    benchmark->Arg(1'000'000);
}

}

BENCHMARK_CAPTURE(plan, tasks, Demand::Tasks)->Apply(addSizes);
BENCHMARK_CAPTURE(refusedStart, tasks, Demand::Tasks)->Apply(addSizes);
BENCHMARK_CAPTURE(tick, tasks, Demand::Tasks)->Apply(addSizes);
BENCHMARK_CAPTURE(takeOver, tasks, Demand::Tasks)->Apply(addSizes);
BENCHMARK_CAPTURE(snapshot, tasks, Demand::Tasks)->Apply(addSizes);
BENCHMARK_CAPTURE(plan, times, Demand::TimesThatCanRun)->Apply(addSizesOfTimes);
BENCHMARK_CAPTURE(refusedStart, times, Demand::TimesThatCanRun)->Apply(addSizesOfTimes);
BENCHMARK_CAPTURE(tick, times, Demand::TimesThatCanRun)->Apply(addSizesOfTimes);
BENCHMARK_CAPTURE(takeOver, times, Demand::TimesThatCanRun)->Apply(addSizesOfTimes);
BENCHMARK_CAPTURE(snapshot, times, Demand::TimesThatCanRun)->Apply(addSizesOfTimes);
BENCHMARK_CAPTURE(plan, timesWithoutWorker, Demand::TimesWithoutWorker)->Apply(addSizesOfTimes);
BENCHMARK_CAPTURE(tick, timesWithoutWorker, Demand::TimesWithoutWorker)->Apply(addSizesOfTimes);
