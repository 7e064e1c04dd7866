#ifndef COMPONENTS_METRICS_HISTOGRAM_HPP
#define COMPONENTS_METRICS_HISTOGRAM_HPP

#include <array>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace metrics
{

/// Counts durations in fixed buckets. Thread-safe.
class Histogram
{
public:
    /// Upper bounds of the buckets in milliseconds; one more bucket counts longer durations. They range from the shortest
    /// call of the store to the longest time that a caller waits.
    static constexpr std::array<std::int64_t, 12> bounds {1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000};

    void add(std::chrono::milliseconds duration)
    {
        std::size_t bucket = 0;
        while (bucket < bounds.size() && duration.count() > bounds[bucket]) {
            ++bucket;
        }
        m_counts[bucket].fetch_add(1, std::memory_order_relaxed);
        m_sum.fetch_add(duration.count(), std::memory_order_relaxed);
    }

    /// Number of durations in this bucket, not cumulative; the last bucket has no upper bound.
    std::uint64_t countIn(std::size_t bucket) const
    {
        return m_counts[bucket].load(std::memory_order_relaxed);
    }

    /// Sum of all durations in milliseconds.
    std::int64_t sum() const
    {
        return m_sum.load(std::memory_order_relaxed);
    }

private:
    std::array<std::atomic<std::uint64_t>, bounds.size() + 1> m_counts {};
    std::atomic<std::int64_t> m_sum {0};
};

}

#endif
