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

/// Every change of accounts, defaults, exceptions and zones.
struct ChangeConfiguration
{
    /// Empty id and zero time are filled in by the receiver.
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
