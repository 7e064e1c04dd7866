#ifndef COMPONENTS_JOURNAL_HOLDER_HEARTBEAT_HPP
#define COMPONENTS_JOURNAL_HOLDER_HEARTBEAT_HPP

#include "components/fleet/fencing_token.hpp"

namespace journal
{

/// Shows instances that receive no messages from the holder that it is still alive.
struct HolderHeartbeat
{
    fleet::FencingToken m_token;

    bool operator==(const HolderHeartbeat &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_token);
    }
};

}

#endif
