#ifndef COMPONENTS_SIMULATION_WORLD_FIXTURE_TEST_HPP
#define COMPONENTS_SIMULATION_WORLD_FIXTURE_TEST_HPP

#include "components/simulation/world.hpp"

#include <optional>
#include <string>

namespace simulation::test
{

/// A world in which the scheduling duty is held, and short ways to hand in jobs.
struct WorldFixture
{
    explicit WorldFixture(const WorldSettings &settings = {});

    /// Hands in a job of one step and waits until it is accepted.
    jobs::JobId submit(const jobs::StepSpec &step, const Behaviour &behaviour, int priority = 1);
    /// The same without waiting, through the given instance.
    int submitThrough(int instance, const jobs::StepSpec &step, const Behaviour &behaviour, int priority, jobs::JobId &id);
    bool completes(jobs::JobId job, fleet::Duration limit);
    bool isRunning(jobs::JobId job) const;
    /// Runs of the job that the workers saw, and of these the ones that ended so.
    int runCount(jobs::JobId job) const;
    int endedRunCount(jobs::JobId job, const std::string &how) const;
    /// A worker that runs a task of the job.
    fleet::WorkerId runningWorker(jobs::JobId job) const;
    int nonHolder() const;
    /// A zone that the holder is not in.
    fleet::ZoneId zoneWithoutHolder() const;
    bool waitForHolder(fleet::Duration limit);
    void expectNoViolation() const;

    World m_world;
    std::uint64_t m_nextJob = 0x1000;
};

/// Tasks of one accelerator each.
jobs::StepSpec makeTasks(std::uint16_t count, std::int64_t accelerators = 1);
jobs::StepSpec makeGang(std::uint16_t count, std::int64_t accelerators = 1);

}

#endif
