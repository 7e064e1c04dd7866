#ifndef COMPONENTS_ESTIMATES_RUNNING_MEAN_HPP
#define COMPONENTS_ESTIMATES_RUNNING_MEAN_HPP

namespace estimates
{

/// Mean and variance with exponentially decaying weights of old samples.
struct RunningMean
{
    int m_count = 0;
    double m_mean = 0;
    double m_variance = 0;

    bool operator==(const RunningMean &) const = default;
};

/// Adds one sample. The first 20 samples have equal weight; each later one gets a fixed weight of 5 %.
void add(RunningMean &mean, double sample);

}

#endif
