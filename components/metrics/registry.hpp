#ifndef COMPONENTS_METRICS_REGISTRY_HPP
#define COMPONENTS_METRICS_REGISTRY_HPP

#include "components/metrics/counter.hpp"
#include "components/metrics/gauge.hpp"

#include <map>
#include <mutex>
#include <string>

namespace metrics
{

/// Owns the counters and gauges of one process and renders them in the Prometheus text format.
///
/// A metric is named once with its help text; asking for the same name again returns the same metric. References stay
/// valid as long as the registry lives. Names follow `foxtailcross_<part>_<what>[_total]`.
class Registry
{
public:
    Counter &counter(const std::string &name, const std::string &help);
    Gauge &gauge(const std::string &name, const std::string &help);

    /// Text of every metric in name order, each with its help and type line.
    std::string render() const;

private:
    template<class Metric>
    struct Entry
    {
        std::string m_help;
        Metric m_metric;
    };

    mutable std::mutex m_mutex;
    std::map<std::string, Entry<Counter>> m_counters;
    std::map<std::string, Entry<Gauge>> m_gauges;
};

}

#endif
