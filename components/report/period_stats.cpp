#include "components/report/period_stats.hpp"

namespace report
{

void PeriodStats::add(const PeriodStats &other)
{
    for (const auto &[account, stats] : other.m_accounts) {
        m_accounts[account].add(stats);
    }
    m_observedMs += other.m_observedMs;
    m_capacityAcceleratorMs += other.m_capacityAcceleratorMs;
    m_freeAcceleratorMs += other.m_freeAcceleratorMs;
    m_fragmentedAcceleratorMs += other.m_fragmentedAcceleratorMs;
}

bool PeriodStats::empty() const
{
    return m_accounts.empty() && m_observedMs == 0;
}

}
