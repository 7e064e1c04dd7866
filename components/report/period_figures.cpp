#include "components/report/period_figures.hpp"

namespace report
{

void PeriodFigures::add(const PeriodFigures &other)
{
    for (const auto &[account, figures] : other.m_accounts) {
        m_accounts[account].add(figures);
    }
    m_observedMs += other.m_observedMs;
    m_capacityAcceleratorMs += other.m_capacityAcceleratorMs;
    m_freeAcceleratorMs += other.m_freeAcceleratorMs;
    m_fragmentedAcceleratorMs += other.m_fragmentedAcceleratorMs;
}

bool PeriodFigures::empty() const
{
    return m_accounts.empty() && m_observedMs == 0;
}

}
