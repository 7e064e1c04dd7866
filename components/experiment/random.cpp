#include "components/experiment/random.hpp"

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/lognormal_distribution.hpp>
#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_int_distribution.hpp>

namespace experiment
{

std::int64_t uniform(Random &random, std::int64_t low, std::int64_t high)
{
    return boost::random::uniform_int_distribution<std::int64_t>(low, high)(random);
}

bool chance(Random &random, double probability)
{
    return boost::random::uniform_01<double>()(random) < probability;
}

double exponential(Random &random)
{
    return boost::random::exponential_distribution<double>(1.0)(random);
}

double spreadFactor(Random &random, double sigma)
{
    return boost::random::lognormal_distribution<double>(0.0, sigma)(random);
}

fleet::Duration uniformDuration(Random &random, fleet::Duration low, fleet::Duration high)
{
    return fleet::Duration(uniform(random, low.count(), high.count()));
}

}
