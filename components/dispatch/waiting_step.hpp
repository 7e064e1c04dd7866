#ifndef COMPONENTS_DISPATCH_WAITING_STEP_HPP
#define COMPONENTS_DISPATCH_WAITING_STEP_HPP

#include "components/fleet/boot_time.hpp"

#include <optional>

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
    /// For how long a gang that waits for one rack would have fit in several, and when it last would have if it still does.
    fleet::Duration m_fitSeveralRacksFor {0};
    std::optional<fleet::BootTime> m_fitsSeveralRacksAt;
    /// When it was last checked that a rack could hold the gang at all.
    std::optional<fleet::BootTime> m_rackCheckedAt;
    bool m_canARackHold = true;
};

}

#endif
