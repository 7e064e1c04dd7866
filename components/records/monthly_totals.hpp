#ifndef COMPONENTS_RECORDS_MONTHLY_TOTALS_HPP
#define COMPONENTS_RECORDS_MONTHLY_TOTALS_HPP

#include "components/fleet/identifiers.hpp"

#include <cstdint>

namespace records
{

/// What one account was delivered in one calendar month (UTC). Carried from snapshot to snapshot for the reports.
struct MonthlyTotals
{
    /// Year times 100 plus month, as in 202612.
    int m_month = 0;
    fleet::AccountId m_account;
    std::int64_t m_jobsSubmitted = 0;
    std::int64_t m_jobsDone = 0;
    std::int64_t m_jobsFailed = 0;
    std::int64_t m_jobsCancelled = 0;
    std::int64_t m_jobsRefused = 0;
    /// Sum over the jobs done of the time from submission to end.
    std::int64_t m_completionMs = 0;
    /// Jobs done within twice their declared run time.
    std::int64_t m_jobsOnTime = 0;
    /// Accelerators times run time of the attempts that ended.
    std::int64_t m_acceleratorMs = 0;
    std::int64_t m_requestsDone = 0;
    std::int64_t m_requestsRefused = 0;
    std::int64_t m_requestsUnknown = 0;

    bool operator==(const MonthlyTotals &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_month, m_account, m_jobsSubmitted, m_jobsDone, m_jobsFailed, m_jobsCancelled, m_jobsRefused);
        archive(m_completionMs, m_jobsOnTime, m_acceleratorMs, m_requestsDone, m_requestsRefused, m_requestsUnknown);
    }
};

}

#endif
