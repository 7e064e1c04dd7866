#ifndef COMPONENTS_INSTANCE_LOG_EXCHANGE_HPP
#define COMPONENTS_INSTANCE_LOG_EXCHANGE_HPP

#include "components/fleet/time.hpp"
#include "components/instance/events.hpp"

#include <cstdint>

namespace instance
{

struct Core;

/// Value of `upTo` for an append that holds a snapshot instead of records.
constexpr std::uint64_t snapshotAppend = 0;

/// Starts the reads that are due.
void tickLog(Core &core, fleet::TimePoint now);

/// Starts the appends that are due.
void flushLog(Core &core, fleet::TimePoint now);

void onAppendEnded(Core &core, const LogAppendEnded &event, fleet::TimePoint now);

/// Applies the records of a page.
void onLogReadEnded(Core &core, const LogReadEnded &event, fleet::TimePoint now);

}

#endif
