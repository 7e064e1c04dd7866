#ifndef COMPONENTS_ADMISSION_ZONE_CHOICE_HPP
#define COMPONENTS_ADMISSION_ZONE_CHOICE_HPP

#include "components/admission/zone_summary.hpp"
#include "components/fleet/job_spec.hpp"

#include <optional>
#include <vector>

namespace admission
{

/// Chooses the availability zone of a job. Returns nothing if every zone is out.
///
/// If the job names a zone, that zone is returned. Otherwise zones are preferred in this order: zones with an unfilled
/// guarantee of the account that covers the job; then the zone with the least free capacity that can start the job
/// immediately and has no queue; then the zone with the lowest load, queue included. Zones that could never run the job are
/// chosen last; zones that are out are never chosen.
std::optional<fleet::ZoneId> chooseZone(const fleet::JobSpec &job, const std::vector<ZoneSummary> &zones);

}

#endif
