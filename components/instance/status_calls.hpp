#ifndef COMPONENTS_INSTANCE_STATUS_CALLS_HPP
#define COMPONENTS_INSTANCE_STATUS_CALLS_HPP

#include "components/api/report_document.hpp"
#include "components/api/status_view.hpp"
#include "components/fleet/time.hpp"

#include <string>

namespace records
{
struct Job;
}

namespace instance
{

struct Core;

/// Returns the status of the whole system as this instance sees it.
api::StatusView makeStatus(const Core &core, fleet::TimePoint now);

api::ReportDocument makeReport(const Core &core, const api::ReportQuery &query, fleet::TimePoint now);

/// Explains in one sentence why a job waits.
std::string explainWait(const Core &core, const records::Job &job, fleet::TimePoint now);

}

#endif
