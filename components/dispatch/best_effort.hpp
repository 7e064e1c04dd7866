#ifndef COMPONENTS_DISPATCH_BEST_EFFORT_HPP
#define COMPONENTS_DISPATCH_BEST_EFFORT_HPP

namespace dispatch
{

struct Context;

/// Stops tasks that only use idle processor time on workers that also run a serving task, which must meet its target for response
/// times.
void stopBestEffortBesideServing(Context &context);

}

#endif
