#ifndef COMPONENTS_API_CALLER_CALLS_HPP
#define COMPONENTS_API_CALLER_CALLS_HPP

#include "components/api/request_submission.hpp"
#include "components/fleet/identifiers.hpp"
#include "components/fleet/job_spec.hpp"

namespace api
{

/// POST /v1/jobs
struct SubmitJob
{
    fleet::JobSpec m_spec;
};

/// GET /v1/jobs/{id}
struct ShowJob
{
    fleet::JobId m_job;
};

/// DELETE /v1/jobs/{id}
struct CancelJob
{
    fleet::JobId m_job;
};

/// GET /v1/jobs; only the jobs of one account if `?account=` is given.
struct ListJobs
{
    fleet::AccountId m_account;
};

/// POST /v1/request-ids
struct IssueRequestIds
{
    int m_count = 1;
};

/// POST /v1/requests
struct SendRequest
{
    RequestSubmission m_submission;
};

/// GET /v1/requests/{id}
struct ShowRequest
{
    fleet::RequestId m_id;
};

/// GET /v1/health
struct ShowHealth
{
};

/// GET /metrics
struct ShowMetrics
{
};

}

#endif
