#ifndef COMPONENTS_DISPATCH_UNANSWERED_START_HPP
#define COMPONENTS_DISPATCH_UNANSWERED_START_HPP

#include "components/fleet/boot_time.hpp"
#include "components/workers/worker_incarnation.hpp"

namespace dispatch
{

/// A start order of this holder without an answer, which may be carried out seconds later. The worker refuses it while it knows how the
/// run ended, and no longer once it has restarted.
struct UnansweredStart
{
    workers::WorkerIncarnation m_target;
    fleet::BootTime m_unansweredAt;
    /// The latest incarnation that has confirmed a stop of the run, and refuses the order.
    workers::WorkerIncarnation m_stoppedOn;
    fleet::BootTime m_nextStopAt;
};

}

#endif
