#ifndef COMPONENTS_METRICS_REGISTRY_HPP
#define COMPONENTS_METRICS_REGISTRY_HPP

#include "components/metrics/counter.hpp"
#include "components/metrics/gauge.hpp"
#include "components/metrics/histogram.hpp"

#include <map>
#include <mutex>
#include <string>

namespace metrics
{

/// Owns the metrics of one process and renders them in the Prometheus text format.
///
/// The first call for a name sets its help text; later calls with the same name and labels return the same metric. References
/// stay valid as long as the registry exists. Names follow `foxtailcross_<part>_<what>[_total]`; labels are written as
/// `kind="submit",outcome="accepted"` and must have few distinct values.
class Registry
{
public:
    Counter &counter(const std::string &name, const std::string &help, const std::string &labels = {});
    Gauge &gauge(const std::string &name, const std::string &help, const std::string &labels = {});
    Histogram &histogram(const std::string &name, const std::string &help, const std::string &labels = {});

    /// Returns the text of all metrics: counters, then gauges, then histograms, each in name order with a help and a type line.
    std::string render() const;

private:
    template<class Metric>
    struct Family
    {
        std::string m_help;
        std::map<std::string, Metric> m_metrics;
    };

    mutable std::mutex m_mutex;
    std::map<std::string, Family<Counter>> m_counters;
    std::map<std::string, Family<Gauge>> m_gauges;
    std::map<std::string, Family<Histogram>> m_histograms;
};

}

#endif
