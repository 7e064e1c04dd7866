#ifndef COMPONENTS_EXPERIMENT_FAULT_HPP
#define COMPONENTS_EXPERIMENT_FAULT_HPP

#include "components/fleet/time.hpp"

#include <cstddef>
#include <cstdint>

namespace experiment
{

enum class FaultKind : std::uint8_t {
    /// The worker crashes, loses its leases and statuses, and returns with the same id.
    WorkerRestart,
    /// The worker crashes, is removed from the worker list and is replaced by one with a new id.
    WorkerLoss,
    /// The worker is listed as leaving, then removed and replaced by one with a new id.
    WorkerLeaving,
    /// All workers of one rack are lost at the same time.
    RackLoss,
    /// The worker fails every task that it starts.
    WorkerFailsEverything,
    /// Messages of the zone's scheduler do not reach the worker, so that it sends no reports.
    WorkerUnreachable,
    /// Reports of the worker arrive late.
    WorkerSlow,
    /// The zone's scheduler is paused. Events that arrive are delivered after the pause.
    SchedulerPause,
    /// Operators take the zone out of service and return it later.
    ZoneOut,
};

/// One injected fault. `m_subject` is the index of a worker or of a zone.
struct Fault
{
    FaultKind m_kind = FaultKind::WorkerRestart;
    std::size_t m_subject = 0;
    fleet::TimePoint m_from;
    fleet::TimePoint m_until;
};

}

#endif
