#ifndef COMPONENTS_INSTANCE_PEER_CALL_ID_HPP
#define COMPONENTS_INSTANCE_PEER_CALL_ID_HPP

#include <compare>
#include <cstdint>

namespace instance
{

/// Identifies one call of this instance to another.
struct PeerCallId
{
    std::uint64_t m_value = 0;

    auto operator<=>(const PeerCallId &) const = default;
};

}

#endif
