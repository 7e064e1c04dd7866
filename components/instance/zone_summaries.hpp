#ifndef COMPONENTS_INSTANCE_ZONE_SUMMARIES_HPP
#define COMPONENTS_INSTANCE_ZONE_SUMMARIES_HPP

#include "components/admission/zone_summary.hpp"

#include <vector>

namespace instance
{

struct Core;

/// Every availability zone that has workers, by the platform's list and the records of the jobs that run and wait there.
std::vector<admission::ZoneSummary> summarizeZones(const Core &core);

}

#endif
