#ifndef COMPONENTS_EXPERIMENT_RUN_STATS_HPP
#define COMPONENTS_EXPERIMENT_RUN_STATS_HPP

#include "components/experiment/account_stats.hpp"
#include "components/experiment/violation.hpp"

#include <cstdint>
#include <vector>

namespace experiment
{

struct RunState;

/// What one run measured. Times are in seconds.
struct RunStats
{
    std::uint64_t m_seed = 0;
    double m_jobs = 0.0;
    double m_done = 0.0;
    /// Completion time of a scheduler without any wait or loss.
    double m_runTimeMedian = 0.0;
    double m_runTimeP95 = 0.0;
    double m_completionMedian = 0.0;
    double m_completionP95 = 0.0;
    double m_largeCompletionP95 = 0.0;
    double m_fragmentation = 0.0;
    double m_largestGangShare = 0.0;
    double m_working = 0.0;
    double m_workingInZoneChange = 0.0;
    double m_guaranteedJobs = 0.0;
    double m_guaranteeMedian = 0.0;
    double m_guaranteeMax = 0.0;
    double m_urgentStarts = 0.0;
    double m_urgentP99 = 0.0;
    double m_wastedAcceleratorHours = 0.0;
    /// Sound jobs that the scheduler ended without success.
    double m_endedWithoutSuccess = 0.0;
    double m_neverStarted = 0.0;
    double m_starvedLarge = 0.0;
    /// Jobs larger than any worker or rack that were not refused.
    double m_impossibleNotRefused = 0.0;
    std::vector<AccountStats> m_accounts;
    /// Completion time of every sound job, sorted.
    std::vector<double> m_completions;
    std::vector<Violation> m_violations;

    bool operator==(const RunStats &) const = default;
};

/// One scalar of Figures with its name and unit.
struct Measure
{
    const char *m_name;
    const char *m_unit;
    double RunStats::*m_value;
};

/// Every scalar, in the order in which reports list them.
const std::vector<Measure> &measures();

/// Value below which `share` of the sorted values lie; 0 where there are none.
double quantile(const std::vector<double> &sorted, double share);

/// Figures of a finished run.
RunStats collectRunStats(const RunState &run, std::uint64_t seed, fleet::TimePoint end);

}

#endif
