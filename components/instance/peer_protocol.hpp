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

/// Seals and opens the messages between instances that travel by TCP, as bodies of HTTP. Safe from any thread.
///
/// A call that is not authentic, or was seen before, is refused and reaches nothing.
class PeerProtocol
{
public:
    /// Both references must outlive this object.
    PeerProtocol(const settings::DaemonSettings &settings, fleet::Incarnation incarnation, Waiters &waiters, EventQueue<Event> &queue);

    /// Queues a call of another instance for the control thread.
    void handle(const http::Request &request, const http::Responder &respond);

    http::Request makeRequest(const fleet::InstanceId &to, const PeerCall &call);
    /// The answer to a call; absent where there is none that can be read.
    std::optional<PeerReply> readReply(const fleet::InstanceId &from, const http::Result &result);
    /// The answer to the call that `waiter` waits for.
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
    /// Who waits for the answer.
    std::map<requests::WaiterId, fleet::InstanceId> m_callers;
};

}

#endif
