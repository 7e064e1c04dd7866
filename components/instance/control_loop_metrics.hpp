#ifndef COMPONENTS_INSTANCE_CONTROL_LOOP_METRICS_HPP
#define COMPONENTS_INSTANCE_CONTROL_LOOP_METRICS_HPP

#include "components/instance/events.hpp"

namespace metrics
{
class Counter;
class Gauge;
class Registry;
}

namespace instance
{

/// Counts the events of the control loop and measures its processor time. Used on the control thread only.
class ControlLoopMetrics
{
public:
    /// `registry` must outlive this object.
    explicit ControlLoopMetrics(metrics::Registry &registry);

    void count(const Event &event);

private:
    metrics::Counter &m_events;
    metrics::Counter &m_datagrams;
    metrics::Counter &m_datagramBytes;
    metrics::Counter &m_records;
    metrics::Gauge &m_processorTime;
};

}

#endif
