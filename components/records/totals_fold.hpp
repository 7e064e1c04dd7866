#ifndef COMPONENTS_RECORDS_TOTALS_FOLD_HPP
#define COMPONENTS_RECORDS_TOTALS_FOLD_HPP

#include "components/fleet/time.hpp"

namespace fleet
{
struct JobSpec;
}

namespace records
{

struct Job;
struct Ledger;
struct RequestsCounted;

void countSubmission(Ledger &ledger, const fleet::JobSpec &spec, fleet::TimePoint at);

/// Adds the accelerator time of the attempt that ends at `at`.
void countAttempt(Ledger &ledger, const Job &job, fleet::TimePoint at);

void countEnd(Ledger &ledger, const Job &job, fleet::TimePoint at);

void countRequests(Ledger &ledger, const RequestsCounted &counted, fleet::TimePoint at);

/// Year times 100 plus month of a time in UTC.
int monthOf(fleet::TimePoint time);

}

#endif
