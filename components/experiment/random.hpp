#ifndef COMPONENTS_EXPERIMENT_RANDOM_HPP
#define COMPONENTS_EXPERIMENT_RANDOM_HPP

#include "components/fleet/time.hpp"

#include <boost/random/mersenne_twister.hpp>

#include <cstdint>
#include <vector>

namespace experiment
{

/// Gives the same sequence for the same seed on every machine.
using Random = boost::random::mt19937_64;

/// Whole number from `low` to `high`, both included.
std::int64_t uniform(Random &random, std::int64_t low, std::int64_t high);

/// True with probability `probability`.
bool chance(Random &random, double probability);

/// Exponentially distributed with mean 1.
double exponential(Random &random);

/// Log-normal factor with median 1.
double spreadFactor(Random &random, double sigma);

/// Time between `low` and `high`, both included.
fleet::Duration uniformDuration(Random &random, fleet::Duration low, fleet::Duration high);

template<class T>
const T &pick(Random &random, const std::vector<T> &choices)
{
    return choices[static_cast<std::size_t>(uniform(random, 0, static_cast<std::int64_t>(choices.size()) - 1))];
}

}

#endif
