#ifndef COMPONENTS_JOURNAL_HOLDER_ALIVE_HPP
#define COMPONENTS_JOURNAL_HOLDER_ALIVE_HPP

#include "components/fleet/fencing_token.hpp"

namespace journal
{

/// Shows instances that do not hear the holder that it still works.
struct HolderAlive
{
    fleet::FencingToken m_token;

    bool operator==(const HolderAlive &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_token);
    }
};

}

#endif
