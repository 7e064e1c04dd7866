#ifndef COMPONENTS_METRICS_GAUGE_HPP
#define COMPONENTS_METRICS_GAUGE_HPP

#include <atomic>
#include <cstdint>

namespace metrics
{

/// A metric that can increase and decrease. Thread-safe.
class Gauge
{
public:
    void set(std::int64_t value)
    {
        m_value.store(value, std::memory_order_relaxed);
    }

    std::int64_t value() const
    {
        return m_value.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::int64_t> m_value {0};
};

}

#endif
