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

/// Adds an accepted record to the job's history and to the figures of the reports. `at` is the time in the log.
void addToHistory(Core &core, const records::Record &record, fleet::TimePoint at);

}

#endif
