#include "components/node/peer_message.hpp"

#include "components/wire/codec.hpp"
#include "components/wire/mac.hpp"

namespace node
{

namespace
{

constexpr std::uint8_t formatVersion = 1;

}

std::string signPeerMessage(const PeerMessage &message, const std::string &receiverKey)
{
    const std::string bytes = wire::encode(formatVersion, message);
    return wire::sign({receiverKey, {}}, bytes) + bytes;
}

std::optional<PeerMessage> verifyPeerMessage(std::string_view bytes, const std::string &ownKey)
{
    if (bytes.size() <= wire::macLength || !wire::verify({ownKey, {}}, bytes.substr(wire::macLength), bytes.substr(0, wire::macLength))) {
        return std::nullopt;
    }
    try {
        return wire::decode<PeerMessage>(formatVersion, bytes.substr(wire::macLength));
    } catch (const wire::CodecError &) {
        return std::nullopt;
    }
}

}
