#ifndef COMPONENTS_DISPATCH_WAITING_STEP_HPP
#define COMPONENTS_DISPATCH_WAITING_STEP_HPP

#include "components/fleet/boot_time.hpp"

namespace dispatch
{

/// A step whose turn has come and that has tasks to place.
struct WaitingStep
{
    /// When this holder first found it ready, or last placed a task of it.
    fleet::BootTime m_since;
    /// When it was last seen waiting, and when its next line is due.
    fleet::BootTime m_seenAt;
    fleet::BootTime m_reportDueAt;
    /// The last report said that the free capacity is enough for it.
    bool m_wouldFit = false;
};

}

#endif
