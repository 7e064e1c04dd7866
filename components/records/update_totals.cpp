#include "components/records/update_totals.hpp"

#include "components/records/log_state.hpp"

#include <algorithm>

namespace records
{

namespace
{

/// Number of months that are kept for the reports.
constexpr int keptMonths = 14;
constexpr int monthsPerYear = 12;
constexpr int monthFactor = 100;

int monthCount(int month)
{
    return month / monthFactor * monthsPerYear + month % monthFactor;
}

MonthlyTotals &totalsFor(LogState &state, const fleet::AccountId &account, fleet::TimePoint at)
{
    const int month = monthOf(at);
    const auto found = std::find_if(state.m_totals.begin(), state.m_totals.end(), [&](const MonthlyTotals &totals) {
        return totals.m_month == month && totals.m_account == account;
    });
    if (found != state.m_totals.end()) {
        return *found;
    }
    std::erase_if(state.m_totals, [&](const MonthlyTotals &totals) {
        return monthCount(totals.m_month) + keptMonths <= monthCount(month);
    });
    state.m_totals.push_back({month, account});
    return state.m_totals.back();
}

}

int monthOf(fleet::TimePoint time)
{
    const std::chrono::year_month_day date(std::chrono::floor<std::chrono::days>(time));
    return static_cast<int>(date.year()) * monthFactor + static_cast<int>(static_cast<unsigned>(date.month()));
}

void countSubmission(LogState &state, const fleet::JobSpec &spec, fleet::TimePoint at)
{
    ++totalsFor(state, spec.m_account, at).m_jobsSubmitted;
}

void countAttempt(LogState &state, const Job &job, fleet::TimePoint at)
{
    const std::int64_t ran = std::max<std::int64_t>(0, (at - job.m_attemptAt).count());
    totalsFor(state, job.m_spec.m_account, at).m_acceleratorMs += job.m_spec.m_shape.total().m_accelerators * ran;
}

void countEnd(LogState &state, const Job &job, fleet::TimePoint at)
{
    MonthlyTotals &totals = totalsFor(state, job.m_spec.m_account, at);
    switch (job.m_outcome) {
    case scheduler::JobOutcome::Done: {
        const fleet::Duration took = at - job.m_spec.m_submittedAt;
        ++totals.m_jobsDone;
        totals.m_completionMs += took.count();
        totals.m_jobsOnTime += took <= 2 * job.m_spec.m_declaredRunTime ? 1 : 0;
        return;
    }
    case scheduler::JobOutcome::Failed:
        ++totals.m_jobsFailed;
        return;
    case scheduler::JobOutcome::Cancelled:
        ++totals.m_jobsCancelled;
        return;
    case scheduler::JobOutcome::CannotRun:
        ++totals.m_jobsRefused;
        return;
    }
}

void countRequests(LogState &state, const RequestsCounted &counted, fleet::TimePoint at)
{
    MonthlyTotals &totals = totalsFor(state, counted.m_account, at);
    totals.m_requestsDone += counted.m_done;
    totals.m_requestsRefused += counted.m_refused;
    totals.m_requestsUnknown += counted.m_unknown;
}

}
