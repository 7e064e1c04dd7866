#include "components/simulation/world_fixture_test.hpp"

#include <chrono>
#include <string>

#include <criterion/criterion.h>

using namespace std::chrono_literals;
using namespace simulation;
using namespace simulation::test;

namespace
{

/// A job of one task that runs, on the only worker if there is only one.
struct RunLogFixture
{
    explicit RunLogFixture(int zones = 3, int workersPerZone = 4)
        : m_fixture(settingsFor(zones, workersPerZone))
    {
        m_job = m_fixture.submit(makeTasks(1), {30s});
        m_world.run(500ms);
        m_worker = m_fixture.runningWorker(m_job);
        cr_assert_neq(m_worker, fleet::WorkerId());
    }

    static WorldSettings settingsFor(int zones, int workersPerZone)
    {
        WorldSettings settings;
        settings.m_zones = zones;
        settings.m_workersPerZone = workersPerZone;
        return settings;
    }

    ModelWorker &worker()
    {
        return m_world.m_fleet.m_workers.at(m_worker);
    }

    jobs::RunId firstRun() const
    {
        return {{{m_job, 0, 0}, 0}, 1};
    }

    const std::string &line(const std::string &event)
    {
        return m_world.m_lastLogLines["dispatch/" + event];
    }

    bool logs(const std::string &event, fleet::Duration limit)
    {
        return m_world.runUntil(
            [&] {
                return m_world.m_logCounts["dispatch/" + event] > 0;
            },
            limit);
    }

    bool beginsAgain(fleet::Duration limit)
    {
        return m_world.runUntil(
            [&] {
                return m_fixture.runCount(m_job) == 2;
            },
            limit);
    }

    void expect(const std::string &event, const std::string &text)
    {
        cr_assert_neq((line(event) + ' ').find(' ' + text + ' '), std::string::npos, "no %s in: %s", text.c_str(), line(event).c_str());
    }

    /// The line of two runs at once names their cause, and is written once.
    void expectTwoRuns(const std::string &closed, const std::string &restarted)
    {
        cr_assert(logs("two-runs", 5s));
        expect("two-runs", "run=1");
        expect("two-runs", "worker=" + m_worker.value());
        expect("two-runs", "closed=" + closed);
        expect("two-runs", "restarted=" + restarted);
        expect("two-runs", "other_run=2");
        m_world.run(3s);
        cr_assert_eq(m_world.m_logCounts["dispatch/two-runs"], 1);
    }

    WorldFixture m_fixture;
    World &m_world = m_fixture.m_world;
    jobs::JobId m_job;
    fleet::WorkerId m_worker;
};

}

/// The restart was only seen in the list, and no line said so.
Test(runLog, workerRestarts_itsRunIsClosedForThat)
{
    RunLogFixture fixture;
    const std::int64_t before = fixture.worker().m_registration.m_incarnation.m_startedAtMs;
    fixture.m_world.crashWorker(fixture.m_worker, true);
    cr_assert(fixture.beginsAgain(4s));
    cr_assert_eq(fixture.m_world.m_logCounts["dispatch/worker-restarted"], 1);
    fixture.expect("worker-restarted", "worker=" + fixture.m_worker.value());
    fixture.expect("worker-restarted", "born_before=" + std::to_string(before));
    fixture.expect("worker-restarted", "born=" + std::to_string(fixture.worker().m_registration.m_incarnation.m_startedAtMs));
    fixture.expect("worker-restarted", "runs=1");
    fixture.expect("worker-restarted", "runs_unanswered=0");
    fixture.expect("worker-restarted", "closed_unanswered=0");
    fixture.expect("run-end", "how=lost-with-worker");
    fixture.expect("run-end", "proof=restarted-without-it");
    fixture.expect("run-end", "launched_born=" + std::to_string(before));
    fixture.expect("run-end", "unanswered_start=false");
}

Test(runLog, leaseExpires_leaseEndAndClockAreNamed)
{
    RunLogFixture fixture;
    fixture.m_world.m_faults.m_unreachableWorkers.insert(fixture.m_worker);
    const std::int64_t leaseEnd = fixture.worker().m_leaseUntilMs;
    cr_assert(fixture.beginsAgain(12s));
    fixture.expect("run-end", "how=lapsed");
    fixture.expect("run-end", "proof=lease-over");
    fixture.expect("run-end", "token_accepted=true");
    const std::string &line = fixture.line("run-end");
    const auto valueOf = [&](const std::string &name) {
        const std::size_t at = line.find(' ' + name + '=');
        cr_assert_neq(at, std::string::npos, "no %s in: %s", name.c_str(), line.c_str());
        return std::stoll(line.substr(at + name.size() + 2));
    };
    cr_assert_geq(valueOf("lease_end_ms"), leaseEnd);
    cr_assert_geq(valueOf("clock_ms"), valueOf("lease_end_ms"));
    cr_assert_geq(valueOf("clock_age_ms"), 4000);
}

/// A start order without an answer whose run was done, and a restart: the order would run the task again.
Test(runLog, startWithoutAnswerAndRestart_orderAndItsStopAreNamed)
{
    WorldFixture fixture;
    World &world = fixture.m_world;
    world.m_faults.m_delayedOrders = 1;
    const jobs::JobId job = fixture.submit(makeTasks(1), {200ms});
    world.run(40ms);
    world.m_faults.m_delayedOrders = 0;
    cr_assert(world.runUntil(
        [&] {
            return fixture.isRunning(job);
        },
        2s));
    const fleet::WorkerId worker = fixture.runningWorker(job);
    cr_assert(fixture.completes(job, 2s));
    cr_assert_eq(world.m_logCounts["dispatch/start-unanswered"], 1);
    const std::string unanswered = world.m_lastLogLines["dispatch/start-unanswered"];
    cr_assert_neq(unanswered.find("run=1 worker=" + worker.value()), std::string::npos, "%s", unanswered.c_str());
    cr_assert_neq(unanswered.find(" try=1 "), std::string::npos, "%s", unanswered.c_str());
    const std::string end = world.m_lastLogLines["dispatch/run-end"];
    cr_assert_neq(end.find("proof=reported-by-worker"), std::string::npos, "%s", end.c_str());
    cr_assert_neq(end.find("unanswered_start=true start_sent_ms="), std::string::npos, "%s", end.c_str());
    world.crashWorker(worker, true);
    cr_assert(world.runUntil(
        [&] {
            return world.m_logCounts["dispatch/late-start-stop"] == 2;
        },
        3s));
    const std::string restarted = world.m_lastLogLines["dispatch/worker-restarted"];
    cr_assert_neq(restarted.find("closed_unanswered=1"), std::string::npos, "%s", restarted.c_str());
    const std::string stop = world.m_lastLogLines["dispatch/late-start-stop"];
    cr_assert_neq(stop.find("state=confirmed"), std::string::npos, "%s", stop.c_str());
    world.run(5s);
    cr_assert_eq(world.m_logCounts["dispatch/late-start-stop"], 2);
}

/// Cause A of the incident of 6 December: the order reaches another life of the worker after the run was closed.
Test(runLog, closedRunBeginsOnARestartedWorker_causeIsNamed)
{
    RunLogFixture fixture;
    fixture.m_world.m_faults.m_unreachableWorkers.insert(fixture.m_worker);
    cr_assert(fixture.beginsAgain(12s));
    fixture.m_world.crashWorker(fixture.m_worker, true);
    workers::StartOrder order;
    order.m_target.m_worker = fixture.m_worker;
    order.m_run = fixture.firstRun();
    order.m_leaseUntilMs = clockReading(fixture.worker(), fixture.m_world.now()) + 3000;
    cr_assert_eq(start(fixture.m_world.m_fleet, order, fixture.m_world.now()).m_outcome, workers::OrderOutcome::Done);
    fixture.m_world.m_faults.m_unreachableWorkers.clear();
    fixture.expectTwoRuns("lease-over", "true");
}

/// Cause B: the worker has a lease that is longer than the holder believes.
Test(runLog, runLivesOnAfterTheEndOfItsLease_causeIsNamed)
{
    RunLogFixture fixture;
    fixture.m_world.m_faults.m_unreachableWorkers.insert(fixture.m_worker);
    fixture.worker().m_leaseUntilMs += 20'000;
    cr_assert(fixture.beginsAgain(12s));
    fixture.m_world.m_faults.m_unreachableWorkers.clear();
    fixture.expectTwoRuns("lease-over", "false");
}

/// Cause C: the run is given up by an answer that does not show it.
Test(runLog, runIsMissingInOneAnswer_causeIsNamed)
{
    RunLogFixture fixture(1, 1);
    auto run = fixture.worker().m_running.extract(fixture.firstRun());
    cr_assert(fixture.beginsAgain(4s));
    fixture.worker().m_running.insert(std::move(run));
    fixture.expectTwoRuns("not-listed-by-worker", "false");
}

Test(runLog, holderIsReplaced_openRunsAndFormerLeasesAreNamed)
{
    RunLogFixture fixture;
    fixture.m_world.kill(fixture.m_world.holder());
    cr_assert(fixture.m_fixture.waitForHolder(3s));
    const std::string &line = fixture.m_world.m_lastLogLines["duty/hold"];
    // The authority of the former holder and the longest lease by this machine's clock.
    cr_assert_neq(line.find("open_runs=1 former_leases_ms=10180"), std::string::npos, "%s", line.c_str());
}

/// These lines are for decisions: a quiet run of seconds writes none of them.
Test(runLog, nothingHappens_nothingIsLogged)
{
    RunLogFixture fixture;
    fixture.m_world.run(10s);
    for (const char *event : {"worker-restarted", "start-unanswered", "late-start-stop", "stray-run", "two-runs", "end-after-close", "run-end"}) {
        cr_assert_eq(fixture.m_world.m_logCounts[std::string("dispatch/") + event], 0, "%s", event);
    }
}
