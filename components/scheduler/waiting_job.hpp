#ifndef COMPONENTS_SCHEDULER_WAITING_JOB_HPP
#define COMPONENTS_SCHEDULER_WAITING_JOB_HPP

#include "components/fleet/identifiers.hpp"
#include "components/fleet/time.hpp"

#include <compare>

namespace scheduler
{

/// A job in the queue; the order of submission.
struct WaitingJob
{
    fleet::TimePoint m_submittedAt;
    fleet::JobId m_job;

    auto operator<=>(const WaitingJob &) const = default;
};

}

#endif
