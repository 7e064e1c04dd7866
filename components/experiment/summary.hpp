#ifndef COMPONENTS_EXPERIMENT_SUMMARY_HPP
#define COMPONENTS_EXPERIMENT_SUMMARY_HPP

#include "components/experiment/run_stats.hpp"
#include "components/experiment/spread.hpp"

#include <string>
#include <vector>

namespace experiment
{

/// Statistics of several seeds under one policy.
struct Summary
{
    std::string m_site;
    std::string m_policy;
    double m_days = 0.0;
    double m_faultScale = 0.0;
    /// One entry for each element of measures(), in the same order.
    std::vector<Spread> m_spreads;
    std::vector<RunStats> m_runs;
};

/// Computes m_spreads from m_runs.
void summarize(Summary &summary);

std::size_t violationCount(const Summary &summary);

/// Completion times of all runs, merged and sorted.
std::vector<double> pooledCompletions(const Summary &summary);

}

#endif
