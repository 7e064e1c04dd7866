#ifndef COMPONENTS_RUN_TIMES_QUANTILE_HPP
#define COMPONENTS_RUN_TIMES_QUANTILE_HPP

#include <vector>

namespace run_times
{

struct WeightedValue
{
    double m_value = 0;
    double m_weight = 1;
};

/// Returns the quantile (0 to 1) of the values, of which there must be at least one; interpolated between neighbours.
double quantile(std::vector<double> values, double level);

double median(std::vector<double> values);

/// Returns the median absolute deviation from the median.
double deviation(const std::vector<double> &values);

/// Returns the weighted mean of the values with their distances from the weighted median limited to `limit`, which bounds the influence
/// of each value. It uses the values near the median better than the median does, which matters with few of them.
double limitedMean(std::vector<WeightedValue> values, double limit);

}

#endif
