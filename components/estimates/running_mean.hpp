#ifndef COMPONENTS_ESTIMATES_RUNNING_MEAN_HPP
#define COMPONENTS_ESTIMATES_RUNNING_MEAN_HPP

namespace estimates
{

/// Mean and variance that forget old samples exponentially.
struct RunningMean
{
    int m_count = 0;
    double m_mean = 0;
    double m_variance = 0;

    bool operator==(const RunningMean &) const = default;
};

/// Takes one sample in. The first samples weigh equally, later ones by a fixed share.
void add(RunningMean &mean, double sample);

}

#endif
