#ifndef COMPONENTS_INSTANCE_JOB_HISTORY_HPP
#define COMPONENTS_INSTANCE_JOB_HISTORY_HPP

#include "components/fleet/time.hpp"

namespace records
{
struct Record;
}

namespace instance
{

struct Core;

/// Adds an accepted record to the job's history and to the report totals. `at` is the time of the record in the log.
void addToHistory(Core &core, const records::Record &record, fleet::TimePoint at);

}

#endif
