#include "components/metrics/registry.hpp"

#include <sstream>

namespace metrics
{

namespace
{

template<class Entries>
auto &findOrAdd(Entries &entries, const std::string &name, const std::string &help)
{
    const auto [entry, added] = entries.try_emplace(name);
    if (added) {
        entry->second.m_help = help;
    }
    return entry->second.m_metric;
}

template<class Entries>
void renderEntries(std::ostream &out, const Entries &entries, const char *type)
{
    for (const auto &[name, entry] : entries) {
        out << "# HELP " << name << ' ' << entry.m_help << '\n';
        out << "# TYPE " << name << ' ' << type << '\n';
        out << name << ' ' << entry.m_metric.value() << '\n';
    }
}

}

Counter &Registry::counter(const std::string &name, const std::string &help)
{
    const std::lock_guard lock(m_mutex);
    return findOrAdd(m_counters, name, help);
}

Gauge &Registry::gauge(const std::string &name, const std::string &help)
{
    const std::lock_guard lock(m_mutex);
    return findOrAdd(m_gauges, name, help);
}

std::string Registry::render() const
{
    const std::lock_guard lock(m_mutex);
    std::ostringstream out;
    renderEntries(out, m_counters, "counter");
    renderEntries(out, m_gauges, "gauge");
    return out.str();
}

}
