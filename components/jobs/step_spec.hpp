#ifndef COMPONENTS_JOBS_STEP_SPEC_HPP
#define COMPONENTS_JOBS_STEP_SPEC_HPP

#include "components/fleet/resources.hpp"
#include "components/fleet/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace jobs
{

/// What a caller asked for in one step of a job.
struct StepSpec
{
    std::uint16_t m_tasks = 0;
    fleet::Resources m_perTask;
    /// The caller's guess of how long one task takes. Often far off.
    fleet::Duration m_estimate {0};
    /// Earlier steps whose tasks must all be done first.
    std::vector<std::uint16_t> m_dependsOn;
    /// The tasks work only together and end together.
    bool m_isGang = false;
    /// The tasks are slower where they run in more than one rack.
    bool m_prefersOneRack = false;
    bool m_writesCheckpoints = false;
    /// Copies of a task may run at the same time; the first to finish counts.
    bool m_allowsSpeculativeRuns = false;
    /// The tasks run until the job is cancelled and are started again however they end.
    bool m_isLongRunning = false;
    /// The tasks take only processor time that others leave idle; it is not booked.
    bool m_usesIdleProcessor = false;
    /// Label that a runner must have; empty where any runner will do.
    std::string m_requiredLabel;
    /// Rack where the data is; elsewhere the tasks are slower. Empty where it does not matter.
    std::string m_dataRack;
    /// Most tasks of the step on one runner at a time; 0 where there is no limit.
    std::uint16_t m_maxPerRunner = 0;
    /// Tasks of one image behave alike.
    std::string m_image;
    /// Lasting tasks keep the tail of their response times under this; 0 where there is no target.
    fleet::Duration m_tailLatencyObjective {0};
    /// Lasting tasks that the system's own actions may keep from work at the same time; negative where it is not limited.
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
