#ifndef COMPONENTS_DISPATCH_EVICTION_POLICY_HPP
#define COMPONENTS_DISPATCH_EVICTION_POLICY_HPP

#include "components/fleet/time.hpp"

#include <optional>

namespace dispatch
{

/// Returns how much work a run of lower priority may lose if it is stopped for a step of this priority that has waited this long; empty
/// if none may be stopped.
///
/// Answers two load patterns. Urgent gangs arrive in bursts at a full site: they may stop any such run at once. Small tasks of the lowest
/// priority hold every accelerator while gangs of a middle priority wait for several at once: after a moment those gangs may stop runs
/// with checkpoints and runs that have only just started, so that little work is thrown away.
std::optional<fleet::Duration> acceptableLoss(int priority, fleet::Duration waited);

}

#endif
