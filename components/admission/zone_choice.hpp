#ifndef COMPONENTS_ADMISSION_ZONE_CHOICE_HPP
#define COMPONENTS_ADMISSION_ZONE_CHOICE_HPP

#include "components/admission/zone_summary.hpp"
#include "components/fleet/job_spec.hpp"

#include <optional>
#include <vector>

namespace admission
{

/// Availability zone for a job, or nothing where every zone is out.
///
/// A zone that the job names is kept. Otherwise, in this order: a zone with an unfilled guarantee of the account
/// that covers the job; the zone with the least free capacity that can start it at once and has no queue; the
/// zone with the lowest load, queue included. Zones that are out, or could never hold the job, come last.
std::optional<fleet::ZoneId> chooseZone(const fleet::JobSpec &job, const std::vector<ZoneSummary> &zones);

}

#endif
