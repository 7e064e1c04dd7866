#ifndef COMPONENTS_INSTANCE_PORTS_HPP
#define COMPONENTS_INSTANCE_PORTS_HPP

#include "components/api/replies.hpp"
#include "components/http/address.hpp"
#include "components/instance/log_stream.hpp"
#include "components/instance/peer_call_id.hpp"
#include "components/instance/peer_messages.hpp"
#include "components/instance/worker_message.hpp"
#include "components/requests/actions.hpp"

#include <cstdint>
#include <functional>
#include <string>

namespace instance
{

/// Another instance and its address.
struct PeerAddress
{
    fleet::InstanceId m_instance;
    http::Address m_address;

    bool operator==(const PeerAddress &) const = default;
};

/// HTTP bytes sent to the platform, targets and other instances, and received in their responses.
struct ClientBytes
{
    std::uint64_t m_sent = 0;
    std::uint64_t m_received = 0;

    bool operator==(const ClientBytes &) const = default;
};

/// All output of the control loop.
///
/// Each function returns without waiting. The outcome of an append, read, worker message, run or call to another instance
/// follows as exactly one event.
struct Ports
{
    /// `upTo` is returned in the LogAppendEnded event.
    std::function<void(LogStream, std::string record, std::uint64_t upTo)> m_append;
    std::function<void(LogStream, std::uint64_t from)> m_read;
    std::function<void()> m_readList;
    std::function<void(const http::Address &, const WorkerMessage &)> m_sendToWorker;
    std::function<void(const http::Address &, const requests::Dispatch &, fleet::Duration timeout)> m_run;
    std::function<void(const fleet::RunnerId &, const http::Address &)> m_readLoad;
    std::function<void(const http::Address &, std::string bytes)> m_sendDatagram;
    std::function<void(PeerCallId, const PeerAddress &, const PeerCall &, fleet::Duration timeout)> m_callPeer;
    /// No event follows a reply.
    std::function<void(requests::WaiterId, const api::Reply &)> m_reply;
    std::function<void(requests::WaiterId, const PeerReply &)> m_replyToPeer;
    /// Stops accepting connections from callers.
    std::function<void()> m_stopListening;
    /// Returns the HTTP bytes that passed through the client's sockets so far. Absent if nothing counts them.
    std::function<ClientBytes()> m_clientBytes;
    /// Returns a new unique id.
    std::function<std::string()> m_makeId;
};

}

#endif
