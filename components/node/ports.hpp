#ifndef COMPONENTS_NODE_PORTS_HPP
#define COMPONENTS_NODE_PORTS_HPP

#include "components/callers/reply.hpp"
#include "components/fleet/boot_time.hpp"
#include "components/fleet/fencing_token.hpp"
#include "components/fleet/now.hpp"
#include "components/fleet/time.hpp"
#include "components/logging/line.hpp"
#include "components/machines/upkeep_order.hpp"
#include "components/machines/wave_report.hpp"
#include "components/node/append_tag.hpp"
#include "components/node/caller_connections.hpp"
#include "components/store/append_call.hpp"
#include "components/store/read_call.hpp"
#include "components/workers/advice_question.hpp"
#include "components/workers/poll_order.hpp"
#include "components/workers/start_order.hpp"
#include "components/workers/stop_order.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace node
{

/// Requests of the control thread to the outside: the store, the platform, workers, other instances and callers. Results come
/// back as events that carry the request or the time when it was sent.
class Ports
{
public:
    virtual ~Ports() = default;

    virtual void append(const store::AppendCall &call, const AppendTag &tag, fleet::BootTime now) = 0;
    virtual void readJournal(const store::ReadCall &call, fleet::BootTime now) = 0;
    /// Reads what the operators set from the offset on, or everything that is currently set if there is no offset. The store
    /// waits at most `wait` for a change.
    virtual void readOperators(std::optional<std::uint64_t> from, fleet::Duration wait, fleet::BootTime now) = 0;
    /// Reads the platform's list of workers from the offset on, or all of it if there is no offset.
    virtual void readWorkerList(std::optional<std::uint64_t> from, fleet::BootTime now) = 0;
    /// Reads the newest record of each key of a topic.
    virtual void readKeyed(const store::Topic &topic, fleet::BootTime now) = 0;
    virtual void start(const workers::StartOrder &order) = 0;
    virtual void stop(const workers::StopOrder &order) = 0;
    virtual void poll(const workers::PollOrder &order, fleet::BootTime now) = 0;
    virtual void orderUpkeep(const machines::UpkeepOrder &order) = 0;
    /// Reports the progress of an upkeep wave to the operators.
    virtual void reportWave(const machines::WaveReport &report, fleet::FencingToken token) = 0;
    virtual void requestAdvice(const workers::AdviceQuestion &question, fleet::BootTime now) = 0;
    /// Sends a datagram to another instance; it may be lost.
    virtual void sendDatagram(const std::string &address, std::string bytes) = 0;
    virtual void reply(std::uint64_t call, const callers::Reply &reply) = 0;
    /// Sets whether the platform should send new connections to this instance.
    virtual void setReady(bool isReady) = 0;
    /// Stops accepting connections from callers; calls on open connections are still served.
    virtual void stopAccepting() = 0;
    /// True if no caller's connection is open.
    virtual bool isDrained() const = 0;
    virtual CallerConnections callerConnections() const = 0;
    virtual void log(const logging::Line &line, fleet::Now now) = 0;
};

}

#endif
