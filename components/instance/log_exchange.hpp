#ifndef COMPONENTS_INSTANCE_LOG_EXCHANGE_HPP
#define COMPONENTS_INSTANCE_LOG_EXCHANGE_HPP

#include "components/fleet/time.hpp"
#include "components/instance/events.hpp"

namespace instance
{

struct Core;

/// Reads the streams that are due.
void tickLog(Core &core, fleet::TimePoint now);

/// Sends the groups of records that are due.
void flushLog(Core &core, fleet::TimePoint now);

void endAppend(Core &core, const LogAppendEnded &event, fleet::TimePoint now);

/// Folds what was read.
void takePage(Core &core, const LogReadEnded &event, fleet::TimePoint now);

}

#endif
