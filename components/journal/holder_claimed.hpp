#ifndef COMPONENTS_JOURNAL_HOLDER_CLAIMED_HPP
#define COMPONENTS_JOURNAL_HOLDER_CLAIMED_HPP

#include "components/fleet/fencing_token.hpp"
#include "components/fleet/identifiers.hpp"
#include "components/fleet/incarnation.hpp"

namespace journal
{

/// The instance claims the scheduling duty. Valid if its token is higher than that of every earlier claim.
struct HolderClaimed
{
    fleet::InstanceId m_instance;
    fleet::Incarnation m_incarnation;
    fleet::FencingToken m_token;

    bool operator==(const HolderClaimed &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_instance, m_incarnation, m_token);
    }
};

}

#endif
