#ifndef COMPONENTS_NODE_INSTANCE_METRICS_HPP
#define COMPONENTS_NODE_INSTANCE_METRICS_HPP

#include "components/fleet/now.hpp"
#include "components/node/events.hpp"
#include "components/node/instance_stats.hpp"

namespace metrics
{
class Registry;
}

namespace node
{

/// Counts what the control thread takes in and answers, how long the calls behind it took, and what the instance believes.
/// Used on the control thread only.
class InstanceMetrics
{
public:
    /// `registry` must outlive this object.
    explicit InstanceMetrics(metrics::Registry &registry);

    void count(const Event &event, fleet::Now now);
    /// A caller was answered.
    void countAnswer(const char *call, const char *outcome, fleet::Duration took);
    void publish(const InstanceStats &stats);

private:
    void countCall(const char *call, const char *outcome, fleet::Duration took);
    void countOrder(const char *order, const char *outcome);

    metrics::Registry &m_registry;
    InstanceStats m_lastStats;
};

}

#endif
