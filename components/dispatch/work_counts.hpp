#ifndef COMPONENTS_DISPATCH_WORK_COUNTS_HPP
#define COMPONENTS_DISPATCH_WORK_COUNTS_HPP

#include <cstdint>

namespace dispatch
{

/// Amounts of work done for events and plans, for the metrics. They show which part of the scheduler a busy control thread spends its time in.
struct WorkCounts
{
    std::uint64_t m_plans = 0;
    /// Steps that were examined for placement, and tasks listed for them.
    std::uint64_t m_candidates = 0;
    std::uint64_t m_listedTasks = 0;
    /// Open runs that were read to find those that are no longer needed.
    std::uint64_t m_reconciledRuns = 0;
    /// Open runs that were read to find due orders and overdue ones.
    std::uint64_t m_examinedRuns = 0;

    WorkCounts &operator+=(const WorkCounts &other)
    {
        m_plans += other.m_plans;
        m_candidates += other.m_candidates;
        m_listedTasks += other.m_listedTasks;
        m_reconciledRuns += other.m_reconciledRuns;
        m_examinedRuns += other.m_examinedRuns;
        return *this;
    }

    bool operator==(const WorkCounts &) const = default;
};

}

#endif
