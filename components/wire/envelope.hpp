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

/// One message from one instance to another.
struct Envelope
{
    fleet::InstanceId m_from;
    fleet::Incarnation m_incarnation;
    fleet::InstanceId m_to;
    /// Counts the sender's messages to all instances from 1.
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

/// Encodes the envelope behind its authentication tag.
std::string encodeSigned(const Keys &keys, const Envelope &envelope);

/// Reverses encodeSigned(). Nothing is decoded before the tag is verified. Throws AuthenticationError where the tag fits neither
/// key or the message is for another instance than `self`, CodecError where the authentic bytes are malformed.
Envelope decodeVerified(const Keys &keys, const fleet::InstanceId &self, std::string_view bytes);

}

#endif
