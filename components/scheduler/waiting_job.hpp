#ifndef COMPONENTS_SCHEDULER_WAITING_JOB_HPP
#define COMPONENTS_SCHEDULER_WAITING_JOB_HPP

#include "components/fleet/identifiers.hpp"
#include "components/fleet/time.hpp"

#include <compare>

namespace scheduler
{

/// Entry of a job in the queue, ordered by time of submission.
struct WaitingJob
{
    fleet::TimePoint m_submittedAt;
    fleet::JobId m_job;

    auto operator<=>(const WaitingJob &) const = default;
};

}

#endif
