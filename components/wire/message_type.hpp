#ifndef COMPONENTS_WIRE_MESSAGE_TYPE_HPP
#define COMPONENTS_WIRE_MESSAGE_TYPE_HPP

#include <cstdint>

namespace wire
{

/// Type of the payload of an envelope. Values are never reused.
enum class MessageType : std::uint8_t {
    /// membership::Heartbeat, by UDP.
    Heartbeat = 1,
    /// requests::ForwardedRequest, answered by ForwardedAnswer.
    ForwardedRequest = 2,
    ForwardedAnswer = 3,
    /// requests::Handover, answered by HandoverAnswer.
    Handover = 4,
    HandoverAnswer = 5,
    /// No payload; answered by ConfigurationSnapshot.
    FetchConfiguration = 6,
    /// configuration::Snapshot.
    ConfigurationSnapshot = 7,
    /// No payload; answered by LedgerSnapshot.
    FetchLedger = 8,
    /// records::Snapshot.
    LedgerSnapshot = 9,
    /// instance::PeerCall by TCP, answered by PeerReply.
    PeerCall = 10,
    PeerReply = 11,
};

}

#endif
