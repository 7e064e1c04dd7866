#ifndef COMPONENTS_DISPATCH_BEST_EFFORT_HPP
#define COMPONENTS_DISPATCH_BEST_EFFORT_HPP

namespace dispatch
{

struct Context;

/// Stops tasks that take left-over processor time on workers that have got a task that must keep its response times.
void stopBestEffortBesideServing(Context &context);

}

#endif
