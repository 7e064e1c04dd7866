#include "components/run_times/quantile.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <utility>

namespace run_times
{

namespace
{

double weightedMedian(std::vector<WeightedValue> &values)
{
    std::sort(values.begin(), values.end(), [](const WeightedValue &a, const WeightedValue &b) {
        return a.m_value < b.m_value;
    });
    double total = 0;
    for (const WeightedValue &value : values) {
        total += value.m_weight;
    }
    double below = 0;
    for (std::size_t i = 0; i < values.size(); ++i) {
        below += values[i].m_weight;
        if (below > total / 2) {
            return values[i].m_value;
        }
        if (below == total / 2 && i + 1 < values.size()) {
            return (values[i].m_value + values[i + 1].m_value) / 2;
        }
    }
    return values.back().m_value;
}

}

double quantile(std::vector<double> values, double level)
{
    const double position = level * static_cast<double>(values.size() - 1);
    const std::size_t lower = static_cast<std::size_t>(position);
    const auto at = values.begin() + static_cast<std::ptrdiff_t>(lower);
    std::nth_element(values.begin(), at, values.end());
    if (lower + 1 >= values.size()) {
        return *at;
    }
    const double above = *std::min_element(at + 1, values.end());
    return *at + (above - *at) * (position - static_cast<double>(lower));
}

double median(std::vector<double> values)
{
    constexpr double half = 0.5;
    return quantile(std::move(values), half);
}

double deviation(const std::vector<double> &values)
{
    const double middle = median(values);
    std::vector<double> distances;
    distances.reserve(values.size());
    for (const double value : values) {
        distances.push_back(std::abs(value - middle));
    }
    return median(std::move(distances));
}

double limitedMean(std::vector<WeightedValue> values, double limit)
{
    const double middle = weightedMedian(values);
    double sum = 0;
    double total = 0;
    for (const WeightedValue &value : values) {
        sum += value.m_weight * std::clamp(value.m_value - middle, -limit, limit);
        total += value.m_weight;
    }
    return total > 0 ? middle + sum / total : middle;
}

}
