#include "components/simulation/world_fixture_test.hpp"

#include <chrono>
#include <string>

#include <criterion/criterion.h>

using namespace std::chrono_literals;
using namespace simulation;
using namespace simulation::test;

namespace
{

/// Returns the value of a number in a log line.
int valueOf(const std::string &line, const std::string &name)
{
    const std::size_t at = line.find(' ' + name + '=');
    cr_assert_neq(at, std::string::npos, "%s is missing in: %s", name.c_str(), line.c_str());
    return std::stoi(line.substr(at + name.size() + 2));
}

/// Every second worker takes twice as long for a task.
void slowEverySecondWorker(World &world)
{
    bool isSlow = false;
    for (const fleet::WorkerId &worker : world.workers()) {
        world.m_fleet.m_workers.at(worker).m_slowness = isSlow ? 2 : 1;
        isSlow = !isSlow;
    }
}

}

/// Guards against a model that is lost with its holder for longer than it takes to see some progress of the runs: none of them has ended
/// when the successor expects the run times of a second job.
Test(runTimes, holderKilled_successorLearnsAgainFromProgress)
{
    WorldFixture fixture;
    slowEverySecondWorker(fixture.m_world);
    // The first job runs on all workers, since nothing is learned about the others.
    jobs::StepSpec onAllWorkers = makeTasks(48);
    onAllWorkers.m_maxPerRunner = 4;
    const jobs::JobId first = fixture.submit(onAllWorkers, {12s});
    fixture.m_world.run(1500ms);
    fixture.m_world.kill(fixture.m_world.holder());
    cr_assert(fixture.waitForHolder(1s));
    fixture.m_world.run(5s);
    cr_assert_eq(fixture.endedRunCount(first, "done"), 0);
    const jobs::JobId second = fixture.submit(makeTasks(24), {12s});
    std::string line;
    const bool isLogged = fixture.m_world.runUntil(
        [&] {
            line = fixture.m_world.m_lastLogLines["dispatch/job-end"];
            return line.find(toString(second)) != std::string::npos;
        },
        40s);
    cr_assert(isLogged);
    cr_assert_eq(valueOf(line, "timed_runs"), 24);
    cr_assert_gt(valueOf(line, "estimate_error_pct"), 200);
    cr_assert_lt(valueOf(line, "model_error_pct"), 20, "%s", line.c_str());
    cr_assert(fixture.completes(first, 40s));
    fixture.expectNoViolation();
}
