#ifndef COMPONENTS_EXPERIMENT_RUN_STATS_HPP
#define COMPONENTS_EXPERIMENT_RUN_STATS_HPP

#include "components/experiment/account_stats.hpp"
#include "components/experiment/violation.hpp"

#include <cstdint>
#include <vector>

namespace experiment
{

struct RunState;

/// Results of one run. Times are in seconds. "Sound" jobs are defined by PlannedJob::isSound().
struct RunStats
{
    std::uint64_t m_seed = 0;
    double m_jobs = 0.0;
    double m_done = 0.0;
    /// Run time of sound jobs: the completion time if no job had to wait or repeat work.
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
    /// Impossible jobs (PlannedJob::m_impossible) that the scheduler did not end.
    double m_impossibleNotRefused = 0.0;
    std::vector<AccountStats> m_accounts;
    /// Completion times of all sound jobs, sorted.
    std::vector<double> m_completions;
    std::vector<Violation> m_violations;

    bool operator==(const RunStats &) const = default;
};

/// Name, unit and member of one scalar of RunStats.
struct Measure
{
    const char *m_name;
    const char *m_unit;
    double RunStats::*m_value;
};

/// All scalars, in the order of the reports.
const std::vector<Measure> &measures();

/// Returns the quantile of sorted values for `share` (0 to 1). 0 if there are no values.
double quantile(const std::vector<double> &sorted, double share);

/// Computes the statistics of a finished run.
RunStats collectRunStats(const RunState &run, std::uint64_t seed, fleet::TimePoint end);

}

#endif
