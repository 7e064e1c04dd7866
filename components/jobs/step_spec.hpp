#ifndef COMPONENTS_JOBS_STEP_SPEC_HPP
#define COMPONENTS_JOBS_STEP_SPEC_HPP

#include "components/fleet/resources.hpp"
#include "components/fleet/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace jobs
{

/// One step of a job as requested by the caller.
struct StepSpec
{
    std::uint16_t m_tasks = 0;
    fleet::Resources m_perTask;
    /// The caller's estimate of the run time of one task. Often far off.
    fleet::Duration m_estimate {0};
    /// Earlier steps whose tasks must all be done before this step starts.
    std::vector<std::uint16_t> m_dependsOn;
    /// The tasks run only together and end together.
    bool m_isGang = false;
    /// The tasks are slower if they run in more than one rack.
    bool m_prefersOneRack = false;
    bool m_writesCheckpoints = false;
    /// Several runs of a task may be open at the same time; the first to finish counts.
    bool m_allowsSpeculativeRuns = false;
    /// The tasks run until the job is cancelled and are restarted whenever they end.
    bool m_isLongRunning = false;
    /// The tasks use only processor time that others leave idle. It is not reserved for them.
    bool m_usesIdleProcessor = false;
    /// Label that a runner must have; empty if any runner may be used.
    std::string m_requiredLabel;
    /// Rack that holds the data; the tasks are slower in other racks. Empty if the rack does not matter.
    std::string m_dataRack;
    /// Maximum number of tasks of the step on one runner at the same time; 0 for no limit.
    std::uint16_t m_maxPerRunner = 0;
    /// Name of the image that the tasks run. Tasks of the same image behave alike.
    std::string m_image;
    /// Long-running tasks: upper bound for the tail of their response times; 0 for none.
    fleet::Duration m_tailLatencyObjective {0};
    /// Long-running tasks: maximum number that the scheduler's own actions may make unavailable at the same time; negative for no limit.
    std::int32_t m_maxUnavailable = -1;

    bool operator==(const StepSpec &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_tasks, m_perTask);
        fleet::serializeDuration(archive, m_estimate);
        archive(m_dependsOn, m_isGang, m_prefersOneRack, m_writesCheckpoints, m_allowsSpeculativeRuns, m_isLongRunning, m_usesIdleProcessor);
        archive(m_requiredLabel, m_dataRack, m_maxPerRunner, m_image);
        fleet::serializeDuration(archive, m_tailLatencyObjective);
        archive(m_maxUnavailable);
    }
};

}

#endif
