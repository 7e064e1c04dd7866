#ifndef COMPONENTS_RUN_TIMES_FACTOR_DISTRIBUTION_HPP
#define COMPONENTS_RUN_TIMES_FACTOR_DISTRIBUTION_HPP

#include <array>
#include <cstddef>

namespace run_times
{

/// Distribution of the factors of the known workers. A worker of which little is known is likely to be like others: if the workers form
/// groups, the distribution shows them, without an assumption about their number.
class FactorDistribution
{
public:
    /// Adds a worker of known speed; `logFactor` is relative to the usual worker.
    void add(double logFactor, double weight);

    /// Returns the expected logarithm of a worker's factor whose runs show `mean` with the given variance. `ownWeight` is the weight
    /// with which the worker itself was added at about `mean`.
    double expected(double mean, double variance, double ownWeight) const;

private:
    static constexpr std::size_t bins = 81;

    static std::size_t binOf(double logFactor);

    std::array<double, bins> m_weights {};
    double m_total = 0;
};

}

#endif
