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

/// What the control thread has done by others. Results come back as events that name the time they were asked for.
class Ports
{
public:
    virtual ~Ports() = default;

    virtual void append(const store::AppendCall &call, const AppendTag &tag, fleet::BootTime now) = 0;
    virtual void readJournal(const store::ReadCall &call, fleet::BootTime now) = 0;
    /// Reads what the operators set from the offset on, or everything that is set now where there is none.
    virtual void readOperators(std::optional<std::uint64_t> from, fleet::Duration wait, fleet::BootTime now) = 0;
    /// Reads the platform's list of workers from the offset on, or all of it where there is none.
    virtual void readList(std::optional<std::uint64_t> from, fleet::BootTime now) = 0;
    /// Reads the newest record of each key of a topic.
    virtual void readKeyed(const store::Topic &topic, fleet::BootTime now) = 0;
    virtual void start(const workers::StartOrder &order) = 0;
    virtual void stop(const workers::StopOrder &order) = 0;
    virtual void look(const workers::PollOrder &order, fleet::BootTime now) = 0;
    virtual void upkeep(const machines::UpkeepOrder &order) = 0;
    /// Tells the operators how far a wave is.
    virtual void reportWave(const machines::WaveReport &report, fleet::FencingToken token) = 0;
    virtual void advise(const workers::AdviceQuestion &question, fleet::BootTime now) = 0;
    /// Sends a datagram to another instance; it may be lost.
    virtual void sendDatagram(const std::string &address, std::string bytes) = 0;
    virtual void reply(std::uint64_t call, const callers::Reply &reply) = 0;
    /// Whether new connections should be sent here.
    virtual void setReady(bool isReady) = 0;
    /// Takes no new connections from callers; the calls on open ones are still served.
    virtual void closeDoors() = 0;
    /// No connection of a caller is left.
    virtual bool isDrained() const = 0;
    virtual void log(const logging::Line &line, fleet::Now now) = 0;
};

}

#endif
