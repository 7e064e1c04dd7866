#ifndef COMPONENTS_EXPERIMENT_SPREAD_HPP
#define COMPONENTS_EXPERIMENT_SPREAD_HPP

namespace experiment
{

/// Mean and spread of one measure over several seeds.
struct Spread
{
    double m_mean = 0.0;
    /// Sample standard deviation; 0 for one seed.
    double m_deviation = 0.0;
    double m_lowest = 0.0;
    double m_highest = 0.0;

    bool operator==(const Spread &) const = default;
};

}

#endif
