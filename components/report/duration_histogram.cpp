#include "components/report/duration_histogram.hpp"

#include <boost/histogram/axis/regular.hpp>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace report
{

namespace
{

using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;

constexpr int bucketCount = 180;
constexpr double minMs = 1.0;
constexpr double maxMs = 100.0 * 24 * 3600 * 1000;

const Axis &axis()
{
    static const Axis buckets(bucketCount, minMs, maxMs);
    return buckets;
}

std::size_t bucketOf(fleet::Duration duration)
{
    const double milliseconds = std::max(minMs, static_cast<double>(duration.count()));
    return static_cast<std::size_t>(std::clamp(axis().index(milliseconds), 0, bucketCount - 1));
}

}

void DurationHistogram::add(fleet::Duration duration)
{
    m_counts.resize(bucketCount);
    ++m_counts[bucketOf(duration)];
}

void DurationHistogram::add(const DurationHistogram &other)
{
    if (other.m_counts.empty()) {
        return;
    }
    m_counts.resize(bucketCount);
    const std::size_t shared = std::min(m_counts.size(), other.m_counts.size());
    for (std::size_t bucket = 0; bucket < shared; ++bucket) {
        m_counts[bucket] += other.m_counts[bucket];
    }
}

std::uint64_t DurationHistogram::count() const
{
    return std::accumulate(m_counts.begin(), m_counts.end(), std::uint64_t {0});
}

std::optional<fleet::Duration> DurationHistogram::quantile(double quantile) const
{
    const std::uint64_t total = count();
    if (total == 0) {
        return std::nullopt;
    }
    const auto rank = static_cast<std::uint64_t>(std::ceil(quantile * static_cast<double>(total)));
    std::uint64_t cumulativeCount = 0;
    for (std::size_t bucket = 0; bucket < m_counts.size(); ++bucket) {
        cumulativeCount += m_counts[bucket];
        if (cumulativeCount >= std::max<std::uint64_t>(rank, 1)) {
            return fleet::Duration(std::llround(axis().value(static_cast<double>(bucket) + 0.5)));
        }
    }
    return std::nullopt;
}

}
