#ifndef COMPONENTS_DISPATCH_FILLING_HPP
#define COMPONENTS_DISPATCH_FILLING_HPP

namespace dispatch
{

struct Context;

/// Stops tasks that take left-over processor time on workers that have got a task that must keep its response times.
void separateFilling(Context &context);

}

#endif
