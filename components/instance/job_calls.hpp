#ifndef COMPONENTS_INSTANCE_JOB_CALLS_HPP
#define COMPONENTS_INSTANCE_JOB_CALLS_HPP

#include "components/api/caller_calls.hpp"
#include "components/api/job_view.hpp"
#include "components/fleet/time.hpp"
#include "components/records/log_state.hpp"
#include "components/requests/waiter.hpp"

namespace records
{
struct Record;
}

namespace instance
{

struct Core;

/// Appends the job to the log. The caller is answered once this instance has read the record back and applied it.
void submitJob(Core &core, requests::WaiterId waiter, const api::SubmitJob &call, fleet::TimePoint now);

void cancelJob(Core &core, requests::WaiterId waiter, const api::CancelJob &call, fleet::TimePoint now);

void showJob(Core &core, requests::WaiterId waiter, const fleet::JobId &job, fleet::TimePoint now);

void listJobs(Core &core, requests::WaiterId waiter, const api::ListJobs &call, fleet::TimePoint now);

/// Returns the view of a job for callers.
api::JobView viewJob(const Core &core, const records::Job &job, fleet::TimePoint now);

/// Handles a record that was applied: updates the scheduler and the reports, and answers the caller who waits for it. `at` is
/// the time of the record in the log.
void onRecordApplied(Core &core, const records::Record &record, const records::RecordResult &result, fleet::TimePoint at, fleet::TimePoint now);

/// Answers callers whose record was not applied in time.
void expireJobCalls(Core &core, fleet::TimePoint now);

}

#endif
