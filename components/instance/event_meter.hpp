#ifndef COMPONENTS_INSTANCE_EVENT_METER_HPP
#define COMPONENTS_INSTANCE_EVENT_METER_HPP

#include "components/instance/events.hpp"

namespace metrics
{
class Counter;
class Gauge;
class Registry;
}

namespace instance
{

struct Core;

/// Counts what the control loop takes in and shows some of its state as gauges. Used on the control thread only.
class EventMeter
{
public:
    /// `registry` must outlive this object.
    explicit EventMeter(metrics::Registry &registry);

    void count(const Event &event);
    /// Brings the gauges up to date; call at each tick.
    void show(const Core &core);

private:
    metrics::Counter &m_events;
    metrics::Counter &m_datagrams;
    metrics::Counter &m_datagramBytes;
    metrics::Counter &m_records;
    metrics::Gauge &m_processorTime;
    metrics::Gauge &m_configurationVersion;
    metrics::Gauge &m_logReachable;
    metrics::Gauge &m_waitingJobs;
    metrics::Gauge &m_activeJobs;
};

}

#endif
