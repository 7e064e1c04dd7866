#ifndef COMPONENTS_EXPERIMENT_SUMMARY_HPP
#define COMPONENTS_EXPERIMENT_SUMMARY_HPP

#include "components/experiment/run_stats.hpp"
#include "components/experiment/spread.hpp"

#include <string>
#include <vector>

namespace experiment
{

/// Figures of several seeds under one policy.
struct Summary
{
    std::string m_site;
    std::string m_policy;
    double m_days = 0.0;
    double m_faultScale = 0.0;
    /// One for each of measures(), in their order.
    std::vector<Spread> m_spreads;
    std::vector<RunStats> m_runs;
};

/// Fills the spreads from the runs.
void summarize(Summary &summary);

std::size_t violationCount(const Summary &summary);

/// Completion times of all runs together, sorted.
std::vector<double> pooledCompletions(const Summary &summary);

}

#endif
