#ifndef COMPONENTS_API_OPERATOR_CALLS_HPP
#define COMPONENTS_API_OPERATOR_CALLS_HPP

#include "components/api/report_document.hpp"
#include "components/configuration/change.hpp"
#include "components/fleet/identifiers.hpp"

namespace api
{

/// GET /v1/configuration
struct ShowConfiguration
{
};

/// Any change of accounts, defaults, exceptions or zones.
struct ChangeConfiguration
{
    /// The receiver fills in the id if it is empty and the time if it is zero.
    configuration::Change m_change;
};

/// GET /v1/status
struct ShowStatus
{
};

/// GET /v1/reports/{kind}
struct ShowReport
{
    ReportQuery m_query;
};

/// GET /v1/jobs/{id}/history
struct ExplainJob
{
    fleet::JobId m_job;
};

}

#endif
