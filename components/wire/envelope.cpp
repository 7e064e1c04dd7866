#include "components/wire/envelope.hpp"

#include "components/wire/authentication_error.hpp"
#include "components/wire/codec.hpp"
#include "components/wire/mac.hpp"

namespace wire
{

namespace
{

constexpr std::uint8_t envelopeVersion = 1;

}

std::string encodeSigned(const Keys &keys, const Envelope &envelope)
{
    const std::string content = encode(envelopeVersion, envelope);
    return sign(keys, content) + content;
}

Envelope decodeVerified(const Keys &keys, const fleet::InstanceId &self, std::string_view bytes)
{
    if (bytes.size() <= macLength || !verify(keys, bytes.substr(macLength), bytes.substr(0, macLength))) {
        throw AuthenticationError("the tag of a message matches none of the keys; give every instance the same keys");
    }
    Envelope envelope = decode<Envelope>(envelopeVersion, bytes.substr(macLength));
    if (envelope.m_to != self) {
        throw AuthenticationError("a message is addressed to instance " + envelope.m_to.value() + "; check the peer addresses in the settings");
    }
    return envelope;
}

}
