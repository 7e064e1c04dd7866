#ifndef COMPONENTS_WIRE_ENVELOPE_HPP
#define COMPONENTS_WIRE_ENVELOPE_HPP

#include "components/fleet/identifiers.hpp"
#include "components/fleet/incarnation.hpp"
#include "components/wire/keys.hpp"
#include "components/wire/message_type.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace wire
{

/// A message from one instance to another.
struct Envelope
{
    fleet::InstanceId m_from;
    fleet::Incarnation m_incarnation;
    fleet::InstanceId m_to;
    /// Number of the message, counted from 1 over all messages of the sender, whichever instance they are for.
    std::uint64_t m_sequence = 0;
    MessageType m_type = MessageType::Heartbeat;
    std::string m_payload;

    bool operator==(const Envelope &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_from, m_incarnation, m_to, m_sequence, m_type, m_payload);
    }
};

/// Encodes the envelope, preceded by its HMAC-SHA256 tag under the signing key.
std::string encodeSigned(const Keys &keys, const Envelope &envelope);

/// Reverses encodeSigned(). Nothing is decoded before the tag is verified.
/// @throws AuthenticationError if the tag matches neither key or the message is for another instance than `self`.
/// @throws CodecError if the tag is valid but the bytes are malformed.
Envelope decodeVerified(const Keys &keys, const fleet::InstanceId &self, std::string_view bytes);

}

#endif
