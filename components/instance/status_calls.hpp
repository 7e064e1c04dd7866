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

/// What this instance knows of the whole system.
api::StatusView makeStatus(const Core &core, fleet::TimePoint now);

api::ReportDocument makeReport(const Core &core, const api::ReportQuery &query, fleet::TimePoint now);

/// Why a job waits, in one sentence.
std::string explainWait(const Core &core, const records::Job &job, fleet::TimePoint now);

}

#endif
