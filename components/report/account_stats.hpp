#ifndef COMPONENTS_REPORT_ACCOUNT_STATS_HPP
#define COMPONENTS_REPORT_ACCOUNT_STATS_HPP

#include "components/report/duration_histogram.hpp"
#include "components/report/objective.hpp"
#include "components/report/tally.hpp"

#include <array>
#include <cstdint>

namespace report
{

/// Statistics of one client account in one period. The statistics of two periods can be added.
struct AccountStats
{
    std::uint64_t m_jobsSubmitted = 0;
    std::uint64_t m_jobsDone = 0;
    std::uint64_t m_jobsFailed = 0;
    std::uint64_t m_jobsCancelled = 0;
    std::uint64_t m_jobsRefused = 0;
    std::uint64_t m_requestsDone = 0;
    std::uint64_t m_requestsRefused = 0;
    std::uint64_t m_requestsUnknown = 0;
    /// Accelerator time used by the tasks of the account, in milliseconds.
    std::uint64_t m_acceleratorMs = 0;
    /// Accelerator time of ended attempts that no checkpoint preserved, in milliseconds.
    std::uint64_t m_wastedAcceleratorMs = 0;
    DurationHistogram m_completionTime;
    std::array<Tally, objectives.size()> m_tallies {};

    bool operator==(const AccountStats &) const = default;

    void add(const AccountStats &other);
    /// Counts one event of an objective.
    void count(Objective objective, bool good);

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_jobsSubmitted, m_jobsDone, m_jobsFailed, m_jobsCancelled, m_jobsRefused);
        archive(m_requestsDone, m_requestsRefused, m_requestsUnknown, m_acceleratorMs, m_wastedAcceleratorMs);
        archive(m_completionTime);
        for (Tally &tally : m_tallies) {
            archive(tally);
        }
    }
};

}

#endif
