#include "components/run_times/factor_distribution.hpp"

#include <algorithm>
#include <cmath>

namespace run_times
{

namespace
{

/// Width of a bin; a twentieth is less than what a worker's factor can be known by after a few runs.
constexpr double binWidth = 0.05;
constexpr double lowestBin = -2;
/// Weight of all workers together below which the distribution shows nothing.
constexpr double minTotal = 5;
/// Likelihood that a worker is unlike all others, as a machine that was slowed is.
constexpr double unlikeOthers = 0.02;
/// Factors that are further away, in standard deviations, have a likelihood below a ten-thousandth.
constexpr double maxDeviations = 4.5;

}

std::size_t FactorDistribution::binOf(double logFactor)
{
    return static_cast<std::size_t>(std::clamp(std::round((logFactor - lowestBin) / binWidth), 0.0, static_cast<double>(bins - 1)));
}

void FactorDistribution::add(double logFactor, double weight)
{
    m_weights[binOf(logFactor)] += weight;
    m_total += weight;
}

double FactorDistribution::expected(double mean, double variance, double ownWeight) const
{
    if (m_total < minTotal) {
        return mean;
    }
    const std::size_t ownBin = binOf(mean);
    double sum = unlikeOthers * mean;
    double total = unlikeOthers;
    const double reach = maxDeviations * std::sqrt(variance);
    for (std::size_t i = binOf(mean - reach); i <= binOf(mean + reach); ++i) {
        const double own = i == ownBin ? ownWeight : 0;
        const double weight = std::max(0.0, m_weights[i] - own) / m_total;
        if (weight > 0) {
            const double factor = lowestBin + binWidth * static_cast<double>(i);
            const double likelihood = weight * std::exp(-(mean - factor) * (mean - factor) / (2 * variance));
            sum += likelihood * factor;
            total += likelihood;
        }
    }
    return sum / total;
}

}
