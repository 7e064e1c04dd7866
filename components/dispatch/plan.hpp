#ifndef COMPONENTS_DISPATCH_PLAN_HPP
#define COMPONENTS_DISPATCH_PLAN_HPP

namespace dispatch
{

struct Context;

/// Launches tasks in order of rank and objective, and evicts runs or reserves workers for steps that do not fit. Returns true if
/// tasks are left waiting for capacity.
bool plan(Context &context);

}

#endif
