#include "components/instance/instrumented_ports.hpp"

#include "components/metrics/registry.hpp"

#include <memory>
#include <utility>

namespace instance
{

namespace
{

/// Counters of the messages that one instance sends.
struct SentCounters
{
    explicit SentCounters(metrics::Registry &registry)
        : m_appends(registry.counter("foxtailcross_log_appends_total", "Appends sent to the log."))
        , m_appendBytes(registry.counter("foxtailcross_log_append_bytes_total", "Bytes of records appended."))
        , m_reads(registry.counter("foxtailcross_log_reads_total", "Reads sent to the log."))
        , m_workerMessages(registry.counter("foxtailcross_worker_messages_total", "Command messages sent to workers."))
        , m_workerCommands(registry.counter("foxtailcross_worker_commands_total", "Commands sent to workers."))
        , m_runs(registry.counter("foxtailcross_runs_total", "Requests sent to runners."))
        , m_datagrams(registry.counter("foxtailcross_heartbeats_total", "Heartbeats sent to other instances."))
        , m_datagramBytes(registry.counter("foxtailcross_heartbeat_bytes_total", "Bytes of heartbeats sent."))
        , m_peerCalls(registry.counter("foxtailcross_peer_calls_total", "Calls sent to other instances."))
        , m_replies(registry.counter("foxtailcross_replies_total", "Replies to callers and operators."))
        , m_refusals(registry.counter("foxtailcross_refusals_total", "Replies that refused a call or left its outcome unknown."))
    {
    }

    metrics::Counter &m_appends;
    metrics::Counter &m_appendBytes;
    metrics::Counter &m_reads;
    metrics::Counter &m_workerMessages;
    metrics::Counter &m_workerCommands;
    metrics::Counter &m_runs;
    metrics::Counter &m_datagrams;
    metrics::Counter &m_datagramBytes;
    metrics::Counter &m_peerCalls;
    metrics::Counter &m_replies;
    metrics::Counter &m_refusals;
};

/// Makes `port` call `count` before each of its calls.
template<class... Arguments, class Count>
void countBefore(std::function<void(Arguments...)> &port, Count count)
{
    port = [inner = std::move(port), count = std::move(count)](Arguments... arguments) {
        count(std::as_const(arguments)...);
        inner(std::forward<Arguments>(arguments)...);
    };
}

}

Ports instrument(Ports ports, metrics::Registry &registry)
{
    const auto counters = std::make_shared<SentCounters>(registry);
    countBefore(ports.m_append, [counters](LogStream, const std::string &record, std::uint64_t) {
        counters->m_appends.add();
        counters->m_appendBytes.add(record.size());
    });
    countBefore(ports.m_read, [counters](LogStream, std::uint64_t) {
        counters->m_reads.add();
    });
    countBefore(ports.m_sendToWorker, [counters](const http::Address &, const WorkerMessage &message) {
        counters->m_workerMessages.add();
        counters->m_workerCommands.add(message.m_commands.size());
    });
    countBefore(ports.m_run, [counters](const http::Address &, const requests::Dispatch &, fleet::Duration) {
        counters->m_runs.add();
    });
    countBefore(ports.m_sendDatagram, [counters](const http::Address &, const std::string &bytes) {
        counters->m_datagrams.add();
        counters->m_datagramBytes.add(bytes.size());
    });
    countBefore(ports.m_callPeer, [counters](PeerCallId, const PeerAddress &, const PeerCall &, fleet::Duration) {
        counters->m_peerCalls.add();
    });
    countBefore(ports.m_reply, [counters](requests::WaiterId, const api::Reply &reply) {
        counters->m_replies.add();
        counters->m_refusals.add(std::holds_alternative<api::Refusal>(reply) ? 1 : 0);
    });
    return ports;
}

}
