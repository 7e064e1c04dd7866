#ifndef COMPONENTS_EXPERIMENT_FAULT_HPP
#define COMPONENTS_EXPERIMENT_FAULT_HPP

#include "components/fleet/time.hpp"

#include <cstddef>
#include <cstdint>

namespace experiment
{

enum class FaultKind : std::uint8_t {
    /// The worker loses everything and comes back under its own id.
    WorkerRestart,
    /// The worker dies, is removed from the list and is replaced under a new id.
    WorkerLoss,
    /// The worker is listed as leaving, then removed and replaced under a new id.
    WorkerLeaving,
    /// Every worker of one rack is lost at once.
    RackLoss,
    /// The worker fails every task that it starts.
    WorkerFailsEverything,
    /// No message passes between the zone's scheduler and the worker.
    WorkerUnreachable,
    /// Reports of the worker arrive late.
    WorkerSlow,
    /// The zone's scheduler is paused; what arrives waits.
    SchedulerPause,
    /// Operators take the zone out and bring it back.
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
