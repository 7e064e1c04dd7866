#include "components/estimates/running_mean.hpp"

#include <algorithm>

namespace estimates
{

namespace
{

/// Weight of the newest sample after the first 20.
constexpr double minWeight = 0.05;

}

void add(RunningMean &mean, double sample)
{
    ++mean.m_count;
    const double weight = std::max(minWeight, 1.0 / mean.m_count);
    const double difference = sample - mean.m_mean;
    mean.m_mean += weight * difference;
    mean.m_variance = (1 - weight) * (mean.m_variance + weight * difference * difference);
}

}
