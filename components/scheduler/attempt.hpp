#ifndef COMPONENTS_SCHEDULER_ATTEMPT_HPP
#define COMPONENTS_SCHEDULER_ATTEMPT_HPP

#include "components/estimates/run_times.hpp"
#include "components/fleet/time.hpp"
#include "components/fleet/urgency.hpp"
#include "components/scheduler/attempt_end.hpp"
#include "components/scheduler/attempt_phase.hpp"
#include "components/scheduler/placement_decision.hpp"
#include "components/scheduler/task_run.hpp"

#include <string>
#include <vector>

namespace scheduler
{

/// One attempt to run a job: a gang of tasks that start together or not at all.
struct Attempt
{
    int m_number = 0;
    AttemptPhase m_phase = AttemptPhase::Reserving;
    std::vector<TaskRun> m_tasks;
    fleet::TimePoint m_phaseSince;
    /// When the Start commands were sent.
    fleet::TimePoint m_startedAt;
    /// When the gang's leases were last granted or renewed.
    fleet::TimePoint m_renewedAt;
    /// When a checkpoint without a stop was last requested.
    fleet::TimePoint m_checkpointRequestedAt;
    /// Run time that the job's checkpoint covered when the attempt was made.
    fleet::Duration m_resumedFrom {0};
    fleet::TimePoint m_placedAt;
    /// Slot of the guarantee that covers the gang. A gang without a slot may be preempted.
    int m_slot = noSlot;
    fleet::Urgency m_urgency = fleet::Urgency::Normal;
    /// Expected run time from the start of the attempt, and an upper estimate.
    estimates::Estimate m_runTime;
    AttemptEnd m_end = AttemptEnd::Finished;
    std::string m_reason;

    bool operator==(const Attempt &) const = default;
};

}

#endif
