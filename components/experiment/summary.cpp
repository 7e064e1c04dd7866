#include "components/experiment/summary.hpp"

#include <algorithm>
#include <cmath>

namespace experiment
{

namespace
{

Spread spreadOf(const std::vector<double> &values)
{
    if (values.empty()) {
        return {};
    }
    double sum = 0.0;
    for (const double value : values) {
        sum += value;
    }
    const double mean = sum / static_cast<double>(values.size());
    double squares = 0.0;
    for (const double value : values) {
        squares += (value - mean) * (value - mean);
    }
    const double deviation = values.size() > 1 ? std::sqrt(squares / static_cast<double>(values.size() - 1)) : 0.0;
    const auto [lowest, highest] = std::minmax_element(values.begin(), values.end());
    return {mean, deviation, *lowest, *highest};
}

}

void summarize(Summary &summary)
{
    summary.m_spreads.clear();
    for (const Measure &measure : measures()) {
        std::vector<double> values;
        for (const RunStats &stats : summary.m_runs) {
            values.push_back(stats.*measure.m_value);
        }
        summary.m_spreads.push_back(spreadOf(values));
    }
}

std::size_t violationCount(const Summary &summary)
{
    std::size_t count = 0;
    for (const RunStats &stats : summary.m_runs) {
        count += stats.m_violations.size();
    }
    return count;
}

std::vector<double> pooledCompletions(const Summary &summary)
{
    std::vector<double> pooled;
    for (const RunStats &stats : summary.m_runs) {
        pooled.insert(pooled.end(), stats.m_completions.begin(), stats.m_completions.end());
    }
    std::sort(pooled.begin(), pooled.end());
    return pooled;
}

}
