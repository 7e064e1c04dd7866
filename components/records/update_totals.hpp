#ifndef COMPONENTS_RECORDS_UPDATE_TOTALS_HPP
#define COMPONENTS_RECORDS_UPDATE_TOTALS_HPP

#include "components/fleet/time.hpp"

namespace fleet
{
struct JobSpec;
}

namespace records
{

struct Job;
struct LogState;
struct RequestsCounted;

void countSubmission(LogState &state, const fleet::JobSpec &spec, fleet::TimePoint at);

/// Adds the accelerator time of the attempt that ends at `at`.
void countAttempt(LogState &state, const Job &job, fleet::TimePoint at);

void countEnd(LogState &state, const Job &job, fleet::TimePoint at);

void countRequests(LogState &state, const RequestsCounted &counted, fleet::TimePoint at);

/// Returns the month of a time (UTC) as year times 100 plus month.
int monthOf(fleet::TimePoint time);

}

#endif
