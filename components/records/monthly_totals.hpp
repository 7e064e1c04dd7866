#ifndef COMPONENTS_RECORDS_MONTHLY_TOTALS_HPP
#define COMPONENTS_RECORDS_MONTHLY_TOTALS_HPP

#include "components/fleet/identifiers.hpp"

#include <cstdint>

namespace records
{

/// Work done for one account in one calendar month (UTC). Part of every snapshot, for the reports.
struct MonthlyTotals
{
    /// Year times 100 plus month, such as 202612.
    int m_month = 0;
    fleet::AccountId m_account;
    std::int64_t m_jobsSubmitted = 0;
    std::int64_t m_jobsDone = 0;
    std::int64_t m_jobsFailed = 0;
    std::int64_t m_jobsCancelled = 0;
    std::int64_t m_jobsRefused = 0;
    /// Sum of the times from submission to end of the jobs done, in ms.
    std::int64_t m_completionMs = 0;
    /// Jobs done within twice their declared run time.
    std::int64_t m_jobsOnTime = 0;
    /// Sum of accelerators times run time of the attempts that ended, in accelerator ms.
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
