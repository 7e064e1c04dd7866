#include "components/report/account_stats.hpp"

namespace report
{

void AccountStats::add(const AccountStats &other)
{
    m_jobsSubmitted += other.m_jobsSubmitted;
    m_jobsDone += other.m_jobsDone;
    m_jobsFailed += other.m_jobsFailed;
    m_jobsCancelled += other.m_jobsCancelled;
    m_jobsRefused += other.m_jobsRefused;
    m_requestsDone += other.m_requestsDone;
    m_requestsRefused += other.m_requestsRefused;
    m_requestsUnknown += other.m_requestsUnknown;
    m_acceleratorMs += other.m_acceleratorMs;
    m_wastedAcceleratorMs += other.m_wastedAcceleratorMs;
    m_completionTime.add(other.m_completionTime);
    for (std::size_t index = 0; index < m_tallies.size(); ++index) {
        m_tallies[index] = m_tallies[index] + other.m_tallies[index];
    }
}

void AccountStats::count(Objective objective, bool good)
{
    const Tally one {good ? 1U : 0U, 1U};
    Tally &tally = m_tallies[static_cast<std::size_t>(objective)];
    tally = tally + one;
}

}
