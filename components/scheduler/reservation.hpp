#ifndef COMPONENTS_SCHEDULER_RESERVATION_HPP
#define COMPONENTS_SCHEDULER_RESERVATION_HPP

#include "components/fleet/identifiers.hpp"
#include "components/fleet/time.hpp"
#include "components/placement/place.hpp"

namespace scheduler
{

/// Workers that are kept for a job that has waited longest, so that it is not starved by smaller ones.
struct Reservation
{
    fleet::JobId m_job;
    placement::Assignment m_workers;
    fleet::TimePoint m_madeAt;
    /// When the gangs that are in the way have probably ended. Others may run there until then only.
    fleet::TimePoint m_dueAt;

    bool operator==(const Reservation &) const = default;
};

}

#endif
