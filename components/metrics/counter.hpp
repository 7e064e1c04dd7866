#ifndef COMPONENTS_METRICS_COUNTER_HPP
#define COMPONENTS_METRICS_COUNTER_HPP

#include <atomic>
#include <cstdint>

namespace metrics
{

/// A metric that only increases. Thread-safe.
class Counter
{
public:
    void add(std::uint64_t amount = 1)
    {
        m_value.fetch_add(amount, std::memory_order_relaxed);
    }

    std::uint64_t value() const
    {
        return m_value.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::uint64_t> m_value {0};
};

}

#endif
