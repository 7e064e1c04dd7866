#ifndef COMPONENTS_DISPATCH_PLAN_HPP
#define COMPONENTS_DISPATCH_PLAN_HPP

namespace dispatch
{

struct Context;

/// Starts what can start, in order of priority and objective, and makes room for what goes before others.
void plan(Context &context);

}

#endif
