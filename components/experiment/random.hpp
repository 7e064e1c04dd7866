#ifndef COMPONENTS_EXPERIMENT_RANDOM_HPP
#define COMPONENTS_EXPERIMENT_RANDOM_HPP

#include "components/fleet/time.hpp"

#include <boost/random/mersenne_twister.hpp>

#include <cstdint>
#include <vector>

namespace experiment
{

/// Generator whose sequence for a given seed is the same on every machine.
using Random = boost::random::mt19937_64;

/// Uniformly distributed integer from `low` to `high`, inclusive.
std::int64_t uniform(Random &random, std::int64_t low, std::int64_t high);

/// Returns true with probability `probability`.
bool chance(Random &random, double probability);

/// Exponentially distributed with mean 1.
double exponential(Random &random);

/// Log-normal factor with median 1.
double spreadFactor(Random &random, double sigma);

/// Uniformly distributed duration from `low` to `high`, inclusive.
fleet::Duration uniformDuration(Random &random, fleet::Duration low, fleet::Duration high);

template<class T>
const T &pick(Random &random, const std::vector<T> &choices)
{
    return choices[static_cast<std::size_t>(uniform(random, 0, static_cast<std::int64_t>(choices.size()) - 1))];
}

}

#endif
