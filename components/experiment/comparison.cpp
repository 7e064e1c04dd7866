#include "components/experiment/comparison.hpp"

#include <algorithm>
#include <string_view>
#include <utility>

namespace experiment
{

namespace
{

constexpr double completionRatioLimit = 0.6;
constexpr double fragmentationRatioLimit = 0.5;
constexpr double urgentStartLimitSeconds = 7.9;

std::size_t indexOf(double RunStats::*value)
{
    const auto found = std::find_if(measures().begin(), measures().end(), [value](const Measure &measure) {
        return measure.m_value == value;
    });
    return static_cast<std::size_t>(found - measures().begin());
}

AcceptanceCheck ratioCheck(const Comparison &comparison, double RunStats::*value, double limit)
{
    const std::size_t index = indexOf(value);
    return {std::string(measures()[index].m_name) + ", ratio to the baseline", ratioOf(comparison, index), limit};
}

std::vector<AcceptanceCheck> acceptanceChecks(const Comparison &comparison)
{
    if (comparison.m_present.m_site == "swaralaya") {
        return {ratioCheck(comparison, &RunStats::m_completionMedian, completionRatioLimit),
                ratioCheck(comparison, &RunStats::m_completionP95, completionRatioLimit)};
    }
    if (comparison.m_present.m_site == "kurume") {
        const Spread &starved = comparison.m_present.m_spreads[indexOf(&RunStats::m_starvedLarge)];
        return {ratioCheck(comparison, &RunStats::m_fragmentation, fragmentationRatioLimit), {"large jobs starved, highest of a seed", starved.m_highest, 0.0}};
    }
    const Spread &urgent = comparison.m_present.m_spreads[indexOf(&RunStats::m_urgentP99)];
    return {{"urgent start p99 in s, highest of a seed", urgent.m_highest, urgentStartLimitSeconds, true}};
}

}

Comparison compare(Summary baseline, Summary present)
{
    Comparison comparison {std::move(baseline), std::move(present), {}};
    comparison.m_checks = acceptanceChecks(comparison);
    return comparison;
}

bool passes(const Comparison &comparison)
{
    const bool allChecksPass = std::all_of(comparison.m_checks.begin(), comparison.m_checks.end(), [](const AcceptanceCheck &check) {
        return check.isPassed();
    });
    return allChecksPass && violationCount(comparison.m_present) == 0;
}

double ratioOf(const Comparison &comparison, std::size_t measure)
{
    const double baseline = comparison.m_baseline.m_spreads[measure].m_mean;
    return baseline > 0.0 ? comparison.m_present.m_spreads[measure].m_mean / baseline : 0.0;
}

}
