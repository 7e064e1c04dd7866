#ifndef COMPONENTS_INSTANCE_LOG_EXCHANGE_HPP
#define COMPONENTS_INSTANCE_LOG_EXCHANGE_HPP

#include "components/fleet/time.hpp"
#include "components/instance/events.hpp"

#include <cstdint>

namespace instance
{

struct Core;

/// Stands in for the highest counter where an append holds a snapshot.
constexpr std::uint64_t snapshotAppend = 0;

/// Reads the streams that are due.
void tickLog(Core &core, fleet::TimePoint now);

/// Sends the groups of records that are due.
void flushLog(Core &core, fleet::TimePoint now);

void onAppendEnded(Core &core, const LogAppendEnded &event, fleet::TimePoint now);

/// Folds what was read.
void onLogReadEnded(Core &core, const LogReadEnded &event, fleet::TimePoint now);

}

#endif
