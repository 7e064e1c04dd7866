#ifndef COMPONENTS_SIMULATION_WORLD_FIXTURE_TEST_HPP
#define COMPONENTS_SIMULATION_WORLD_FIXTURE_TEST_HPP

#include "components/simulation/world.hpp"

#include <optional>
#include <string>

namespace simulation::test
{

/// A world in which an instance holds the scheduling duty, with helpers to submit jobs and to check their runs.
struct WorldFixture
{
    explicit WorldFixture(const WorldSettings &settings = {});

    /// Submits a job of one step and waits until it is accepted.
    jobs::JobId submit(const jobs::StepSpec &step, const Behaviour &behaviour, int priority = 1);
    /// Submits a job of one step through the given instance without waiting. Returns the number of the call.
    int submitThrough(int instance, const jobs::StepSpec &step, const Behaviour &behaviour, int priority, jobs::JobId &id);
    bool completes(jobs::JobId job, fleet::Duration limit);
    bool isRunning(jobs::JobId job) const;
    /// Number of runs of the job that the workers saw, and the number of those that ended with the given reason.
    int runCount(jobs::JobId job) const;
    int endedRunCount(jobs::JobId job, const std::string &how) const;
    /// Returns a worker that runs a task of the job.
    fleet::WorkerId runningWorker(jobs::JobId job) const;
    int nonHolder() const;
    /// Returns a zone other than that of the holder.
    fleet::ZoneId zoneWithoutHolder() const;
    bool waitForHolder(fleet::Duration limit);
    void expectNoViolation() const;
    void expectNoRunIn(const fleet::ZoneId &zone, jobs::JobId job) const;

    World m_world;
    std::uint64_t m_nextJob = 0x1000;
};

/// Returns a step of independent tasks, or of one gang, with the given accelerators for each task.
jobs::StepSpec makeTasks(std::uint16_t count, std::int64_t accelerators = 1);
jobs::StepSpec makeGang(std::uint16_t count, std::int64_t accelerators = 1);

}

#endif
