#ifndef COMPONENTS_DISPATCH_PLAN_HPP
#define COMPONENTS_DISPATCH_PLAN_HPP

namespace dispatch
{

struct Context;

/// Starts what can start, in order of priority and objective, and makes room for what goes before others. True where tasks
/// are left waiting for room.
bool plan(Context &context);

}

#endif
