#include "components/metrics/registry.hpp"

#include <sstream>

namespace metrics
{

namespace
{

template<class Families>
auto &findOrAdd(Families &families, const std::string &name, const std::string &help, const std::string &labels)
{
    const auto [family, added] = families.try_emplace(name);
    if (added) {
        family->second.m_help = help;
    }
    return family->second.m_metrics[labels];
}

std::string inBraces(const std::string &labels)
{
    return labels.empty() ? std::string() : '{' + labels + '}';
}

template<class Metric>
void renderMetric(std::ostream &out, const std::string &name, const std::string &labels, const Metric &metric)
{
    out << name << inBraces(labels) << ' ' << metric.value() << '\n';
}

void renderMetric(std::ostream &out, const std::string &name, const std::string &labels, const Histogram &histogram)
{
    const std::string before = labels.empty() ? std::string() : labels + ',';
    std::uint64_t count = 0;
    for (std::size_t bucket = 0; bucket <= Histogram::bounds.size(); ++bucket) {
        count += histogram.countIn(bucket);
        const std::string bound = bucket < Histogram::bounds.size() ? std::to_string(Histogram::bounds[bucket]) : "+Inf";
        out << name << "_bucket{" << before << "le=\"" << bound << "\"} " << count << '\n';
    }
    out << name << "_sum" << inBraces(labels) << ' ' << histogram.sum() << '\n';
    out << name << "_count" << inBraces(labels) << ' ' << count << '\n';
}

template<class Families>
void renderFamilies(std::ostream &out, const Families &families, const char *type)
{
    for (const auto &[name, family] : families) {
        out << "# HELP " << name << ' ' << family.m_help << '\n';
        out << "# TYPE " << name << ' ' << type << '\n';
        for (const auto &[labels, metric] : family.m_metrics) {
            renderMetric(out, name, labels, metric);
        }
    }
}

}

Counter &Registry::counter(const std::string &name, const std::string &help, const std::string &labels)
{
    const std::lock_guard lock(m_mutex);
    return findOrAdd(m_counters, name, help, labels);
}

Gauge &Registry::gauge(const std::string &name, const std::string &help, const std::string &labels)
{
    const std::lock_guard lock(m_mutex);
    return findOrAdd(m_gauges, name, help, labels);
}

Histogram &Registry::histogram(const std::string &name, const std::string &help, const std::string &labels)
{
    const std::lock_guard lock(m_mutex);
    return findOrAdd(m_histograms, name, help, labels);
}

std::string Registry::render() const
{
    const std::lock_guard lock(m_mutex);
    std::ostringstream out;
    renderFamilies(out, m_counters, "counter");
    renderFamilies(out, m_gauges, "gauge");
    renderFamilies(out, m_histograms, "histogram");
    return out.str();
}

}
