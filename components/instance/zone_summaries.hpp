#ifndef COMPONENTS_INSTANCE_ZONE_SUMMARIES_HPP
#define COMPONENTS_INSTANCE_ZONE_SUMMARIES_HPP

#include "components/admission/zone_summary.hpp"

#include <vector>

namespace instance
{

struct Core;

/// Summarizes every availability zone that has workers, from the platform's list and the records of running and waiting jobs.
std::vector<admission::ZoneSummary> summarizeZones(const Core &core);

}

#endif
