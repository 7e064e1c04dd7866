#ifndef COMPONENTS_DISPATCH_UNANSWERED_START_HPP
#define COMPONENTS_DISPATCH_UNANSWERED_START_HPP

#include "components/fleet/boot_time.hpp"
#include "components/fleet/identifiers.hpp"
#include "components/fleet/resources.hpp"
#include "components/workers/worker_incarnation.hpp"

#include <cstdint>

namespace dispatch
{

/// A start order of this holder without an answer, which may be carried out seconds later. The worker refuses it while it knows how the
/// run ended, and no longer once it has restarted.
struct UnansweredStart
{
    workers::WorkerIncarnation m_target;
    fleet::BootTime m_unansweredAt;
    /// When the latest of them was sent; not known, and later, if the run had ended before the answer was given up.
    fleet::BootTime m_sentAt;
    /// Latest lease end that an order to the target granted, in milliseconds on the worker's clock. The target refuses it afterwards.
    std::int64_t m_leaseUntilMs = 0;
    /// Account of the run and what its task asks for.
    fleet::AccountId m_account;
    fleet::Resources m_requested;
    /// The latest incarnation that has confirmed a stop of the run, and refuses the order.
    workers::WorkerIncarnation m_stoppedOn;
    /// When it confirmed the stop; a run that the order had started may work on for the time for stops.
    fleet::BootTime m_stoppedAt;
    fleet::BootTime m_nextStopAt;
    /// The latest incarnation that a stop was sent to, for the logs.
    workers::WorkerIncarnation m_stopSentTo;
};

}

#endif
