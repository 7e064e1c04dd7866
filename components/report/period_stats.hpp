#ifndef COMPONENTS_REPORT_PERIOD_STATS_HPP
#define COMPONENTS_REPORT_PERIOD_STATS_HPP

#include "components/fleet/identifiers.hpp"
#include "components/report/account_stats.hpp"

#include <cstdint>
#include <map>

namespace report
{

/// Statistics of the fleet in one period.
struct PeriodStats
{
    std::map<fleet::AccountId, AccountStats> m_accounts;
    /// Time during which a scheduler observed its zone, summed over all zones, in milliseconds.
    std::uint64_t m_observedMs = 0;
    /// Observed accelerator time in milliseconds: total, free, and free but unusable for every waiting shape.
    std::uint64_t m_capacityAcceleratorMs = 0;
    std::uint64_t m_freeAcceleratorMs = 0;
    std::uint64_t m_fragmentedAcceleratorMs = 0;

    bool operator==(const PeriodStats &) const = default;

    void add(const PeriodStats &other);
    bool empty() const;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_accounts, m_observedMs, m_capacityAcceleratorMs, m_freeAcceleratorMs, m_fragmentedAcceleratorMs);
    }
};

}

#endif
