#include "components/scheduler/state.hpp"
#include "components/scheduler/step.hpp"

#include <benchmark/benchmark.h>

#include <random>
#include <string>

namespace
{

using namespace std::chrono_literals;

constexpr fleet::TimePoint start {1'000'000s};
constexpr int workersPerRack = 8;
constexpr int accounts = 34;

scheduler::WorkerListed makeWorker(int index)
{
    const fleet::WorkerId id("worker-" + std::to_string(index));
    const fleet::RackId rack("rack-" + std::to_string(index / workersPerRack));
    return {{id, fleet::ZoneId("z"), rack, {32000, 64000, 2}}, false};
}

scheduler::PolicyChanged makePolicy(int workers)
{
    scheduler::PolicyChanged policy;
    for (int account = 0; account < accounts; ++account) {
        scheduler::ZoneAccount one;
        one.m_account = fleet::AccountId("account-" + std::to_string(account));
        one.m_quota = {32000L * workers, 64000L * workers, 2L * workers};
        one.m_urgentPerHour = 100;
        if (account < workers / 16) {
            one.m_guarantees = {{4, {4000, 4000, 1}, fleet::Adjacency::SameRack}};
        }
        policy.m_accounts.push_back(one);
    }
    return policy;
}

/// Jobs of 1 to 8 tasks, of five kinds and all accounts.
scheduler::JobArrived makeJob(std::mt19937 &random, int index, fleet::Urgency urgency)
{
    fleet::JobSpec spec;
    spec.m_id = fleet::JobId("job-" + std::to_string(index));
    spec.m_account = fleet::AccountId("account-" + std::to_string(random() % accounts));
    spec.m_kind = "kind-" + std::to_string(random() % 5);
    spec.m_shape = {1 << (random() % 4), {2000, 4000, 1}, static_cast<fleet::Adjacency>(random() % 2)};
    spec.m_urgency = urgency;
    spec.m_declaredRunTime = std::chrono::seconds(60 + random() % 600);
    spec.m_checkpointable = random() % 2 == 0;
    spec.m_submittedAt = start + std::chrono::milliseconds(index);
    return {spec, 0, 0ms};
}

/// A zone with full workers and running gangs. Jobs are added until their tasks reach the given number; the rest waits.
struct Zone
{
    scheduler::State m_state;
    fleet::TimePoint m_now = start;
    std::mt19937 m_random {20261204};
    int m_jobs = 0;

    Zone(int workers, int tasks)
    {
        scheduler::step(m_state, makePolicy(workers), m_now);
        for (int worker = 0; worker < workers; ++worker) {
            scheduler::step(m_state, makeWorker(worker), m_now);
        }
        scheduler::step(m_state, scheduler::StartsAllowed {true}, m_now);
        for (int made = 0; made < tasks;) {
            const scheduler::JobArrived job = nextJob();
            made += job.m_spec.m_shape.m_tasks;
            scheduler::step(m_state, job, m_now);
        }
        answerAll(scheduler::TaskPhase::Reserved);
        answerAll(scheduler::TaskPhase::Running);
    }

    scheduler::JobArrived nextJob(fleet::Urgency urgency = fleet::Urgency::Normal)
    {
        return makeJob(m_random, m_jobs++, urgency);
    }

    scheduler::WorkerReported report(int worker, scheduler::TaskPhase phase) const
    {
        scheduler::WorkerReported event {m_state.m_workers[worker].m_info.m_id, {}, m_now};
        for (const scheduler::TaskRef &ref : m_state.m_workers[worker].m_tasks) {
            event.m_tasks.push_back({ref, phase});
        }
        return event;
    }

    void answerAll(scheduler::TaskPhase phase)
    {
        m_now += 1ms;
        for (int worker = 0; worker < static_cast<int>(m_state.m_workers.size()); ++worker) {
            scheduler::step(m_state, report(worker, phase), m_now);
        }
    }
};

/// Measures the decision whether and where an arriving job starts.
void arrival(benchmark::State &bench)
{
    const Zone full(static_cast<int>(bench.range(0)), static_cast<int>(bench.range(1)));
    Zone zone = full;
    for (auto iteration : bench) {
        zone.m_now += 10ms;
        benchmark::DoNotOptimize(scheduler::step(zone.m_state, zone.nextJob(), zone.m_now));
        if (zone.m_jobs % 256 == 0) {
            bench.PauseTiming();
            zone = full;
            bench.ResumeTiming();
        }
    }
}

/// Measures the decision which gangs are preempted for an urgent job that arrives in a full zone.
void urgentArrival(benchmark::State &bench)
{
    const Zone full(static_cast<int>(bench.range(0)), static_cast<int>(bench.range(1)));
    for (auto iteration : bench) {
        bench.PauseTiming();
        Zone zone = full;
        const scheduler::JobArrived job = zone.nextJob(fleet::Urgency::Urgent);
        bench.ResumeTiming();
        benchmark::DoNotOptimize(scheduler::step(zone.m_state, job, zone.m_now));
    }
}

/// Measures the decision which waiting jobs start when the tasks of one worker end.
void completion(benchmark::State &bench)
{
    const Zone full(static_cast<int>(bench.range(0)), static_cast<int>(bench.range(1)));
    int worker = 0;
    for (auto iteration : bench) {
        bench.PauseTiming();
        Zone zone = full;
        zone.m_now += 1ms;
        const scheduler::WorkerReported report = zone.report(worker++ % static_cast<int>(bench.range(0)), scheduler::TaskPhase::Succeeded);
        bench.ResumeTiming();
        benchmark::DoNotOptimize(scheduler::step(zone.m_state, report, zone.m_now));
    }
}

/// Measures the cost of a second in which nothing changes: one tick and a report of every worker.
void quietSecond(benchmark::State &bench)
{
    Zone zone(static_cast<int>(bench.range(0)), static_cast<int>(bench.range(1)));
    for (auto iteration : bench) {
        zone.m_now += 1s;
        benchmark::DoNotOptimize(scheduler::step(zone.m_state, scheduler::Tick {}, zone.m_now));
        zone.answerAll(scheduler::TaskPhase::Running);
    }
}

void sizes(benchmark::internal::Benchmark *bench)
{
    bench->Args({50, 527})->Args({137, 1450})->Args({275, 2900})->Args({550, 5800})->Args({550, 1450})->Args({550, 11600})->Unit(benchmark::kMicrosecond);
}

BENCHMARK(arrival)->Apply(sizes);
BENCHMARK(urgentArrival)->Apply(sizes)->Iterations(200);
BENCHMARK(completion)->Apply(sizes)->Iterations(200);
BENCHMARK(quietSecond)->Apply(sizes)->Iterations(20);

}
