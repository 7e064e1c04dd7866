#ifndef COMPONENTS_NODE_PEER_MESSAGE_HPP
#define COMPONENTS_NODE_PEER_MESSAGE_HPP

#include "components/fleet/fencing_token.hpp"
#include "components/fleet/identifiers.hpp"
#include "components/fleet/incarnation.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace node
{

/// A message from one instance to another by UDP. It only speeds up reactions; correctness doesn't depend on it, since a
/// datagram may be lost or late.
struct PeerMessage
{
    fleet::InstanceId m_from;
    fleet::Incarnation m_incarnation;
    /// Token under which the sender holds the scheduling duty; 0 if it does not.
    fleet::FencingToken m_token;
    /// The journal ends at this offset or beyond, according to the sender.
    std::uint64_t m_journalEnd = 0;
    /// How long the store has left the calls of the sender unanswered, in milliseconds.
    std::uint32_t m_storeSilenceMs = 0;
    /// The sender gives up the scheduling duty that it held under the token.
    bool m_isResigning = false;
    /// The receiver should answer with a message of its own.
    bool m_requestsAnswer = false;

    bool operator==(const PeerMessage &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_from, m_incarnation, m_token, m_journalEnd, m_storeSilenceMs, m_isResigning, m_requestsAnswer);
    }
};

/// Encodes the message and prepends a MAC made with the receiver's key. Instances find each other's keys in the journal.
std::string signPeerMessage(const PeerMessage &message, const std::string &receiverKey);

/// Checks the MAC and decodes the message. Returns nothing if the MAC was not made with this key or the bytes are malformed.
std::optional<PeerMessage> verifyPeerMessage(std::string_view bytes, const std::string &ownKey);

}

#endif
