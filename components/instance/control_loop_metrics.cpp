#include "components/instance/control_loop_metrics.hpp"

#include "components/metrics/registry.hpp"

#include <ctime>

namespace instance
{

namespace
{

std::int64_t threadProcessorMs()
{
    constexpr std::int64_t msPerSecond = 1000;
    constexpr std::int64_t nsPerMs = 1'000'000;
    timespec spent {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &spent);
    return spent.tv_sec * msPerSecond + spent.tv_nsec / nsPerMs;
}

}

ControlLoopMetrics::ControlLoopMetrics(metrics::Registry &registry)
    : m_events(registry.counter("foxtailcross_control_events_total", "Events handled by the control thread."))
    , m_datagrams(registry.counter("foxtailcross_heartbeats_received_total", "Datagrams received from other instances."))
    , m_datagramBytes(registry.counter("foxtailcross_heartbeat_received_bytes_total", "Bytes of datagrams received."))
    , m_records(registry.counter("foxtailcross_log_records_read_total", "Records read from the log."))
    , m_processorTime(registry.gauge("foxtailcross_control_cpu_milliseconds", "Processor time of the control thread."))
{
}

void ControlLoopMetrics::count(const Event &event)
{
    m_events.add();
    if (const auto *datagram = std::get_if<DatagramReceived>(&event)) {
        m_datagrams.add();
        m_datagramBytes.add(datagram->m_bytes.size());
    }
    if (const auto *read = std::get_if<LogReadEnded>(&event); read != nullptr && read->m_result.m_page) {
        m_records.add(read->m_result.m_page->m_records.size());
    }
    if (std::holds_alternative<Tick>(event)) {
        m_processorTime.set(threadProcessorMs());
    }
}

}
