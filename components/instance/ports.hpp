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

/// Another instance and where it is reached.
struct PeerAddress
{
    fleet::InstanceId m_instance;
    http::Address m_address;

    bool operator==(const PeerAddress &) const = default;
};

/// Bytes of HTTP sent to the platform, targets and other instances, and received as their answers.
struct ClientBytes
{
    std::uint64_t m_sent = 0;
    std::uint64_t m_received = 0;

    bool operator==(const ClientBytes &) const = default;
};

/// Everything that the control loop does to the outside.
///
/// Each function returns at once; its end comes back as an event, exactly once.
struct Ports
{
    /// `upTo` comes back with the end of the append.
    std::function<void(LogStream, std::string record, std::uint64_t upTo)> m_append;
    std::function<void(LogStream, std::uint64_t from)> m_read;
    std::function<void()> m_readList;
    std::function<void(const http::Address &, const WorkerMessage &)> m_sendToWorker;
    std::function<void(const http::Address &, const requests::Dispatch &, fleet::Duration timeout)> m_run;
    std::function<void(const fleet::RunnerId &, const http::Address &)> m_readLoad;
    std::function<void(const http::Address &, std::string bytes)> m_sendDatagram;
    std::function<void(PeerCallId, const PeerAddress &, const PeerCall &, fleet::Duration timeout)> m_callPeer;
    /// Replies end nothing; no event follows.
    std::function<void(requests::WaiterId, const api::Reply &)> m_reply;
    std::function<void(requests::WaiterId, const PeerReply &)> m_replyToPeer;
    /// Accept no more connections of callers.
    std::function<void()> m_stopListening;
    /// Bytes of HTTP that crossed the client's sockets so far. Absent where nothing counts them.
    std::function<ClientBytes()> m_clientBytes;
    /// A new unique id.
    std::function<std::string()> m_makeId;
};

}

#endif
