#ifndef COMPONENTS_INSTANCE_PEER_PROTOCOL_HPP
#define COMPONENTS_INSTANCE_PEER_PROTOCOL_HPP

#include "components/fleet/incarnation.hpp"
#include "components/http/request.hpp"
#include "components/http/responder.hpp"
#include "components/http/response.hpp"
#include "components/http/result.hpp"
#include "components/instance/event_queue.hpp"
#include "components/instance/events.hpp"
#include "components/instance/peer_messages.hpp"
#include "components/instance/waiters.hpp"
#include "components/wire/keys.hpp"
#include "components/wire/message_type.hpp"
#include "components/wire/replay_guard.hpp"

#include <cstddef>
#include <map>
#include <mutex>
#include <optional>

namespace settings
{
struct DaemonSettings;
}

namespace instance
{

/// Largest call from another instance, in bytes.
constexpr std::size_t maxPeerBodyBytes = std::size_t {64} << 20;

/// Signs and verifies the messages that instances exchange over TCP as HTTP bodies. Thread-safe.
///
/// A call that is not authentic, or was received before, is refused and never reaches the control thread.
class PeerProtocol
{
public:
    /// Both references must outlive this object.
    PeerProtocol(const settings::DaemonSettings &settings, fleet::Incarnation incarnation, Waiters &waiters, EventQueue<Event> &queue);

    /// Queues a call from another instance for the control thread.
    void handle(const http::Request &request, const http::Responder &respond);

    http::Request makeRequest(const fleet::InstanceId &to, const PeerCall &call);
    /// Returns the reply to a call; absent if there is none or it cannot be verified and decoded.
    std::optional<PeerReply> readReply(const fleet::InstanceId &from, const http::Result &result);
    /// Makes the response to the call that `waiter` identifies.
    http::Response makeResponse(requests::WaiterId waiter, const PeerReply &reply);

private:
    std::string sign(const fleet::InstanceId &to, wire::MessageType type, std::string payload);

    fleet::InstanceId m_instance;
    fleet::Incarnation m_incarnation;
    wire::Keys m_keys;
    Waiters &m_waiters;
    EventQueue<Event> &m_queue;

    std::mutex m_mutex;
    std::uint64_t m_lastSequence = 0;
    wire::ReplayGuard m_guard;
    /// The calling instance of each open call.
    std::map<requests::WaiterId, fleet::InstanceId> m_callers;
};

}

#endif
