#ifndef COMPONENTS_JOURNAL_HOLDER_RECORD_HPP
#define COMPONENTS_JOURNAL_HOLDER_RECORD_HPP

#include "components/fleet/fencing_token.hpp"
#include "components/fleet/identifiers.hpp"
#include "components/fleet/incarnation.hpp"

namespace journal
{

/// The incarnation that holds the scheduling duty.
struct HolderRecord
{
    /// 0 before the first claim.
    fleet::FencingToken m_token;
    fleet::InstanceId m_instance;
    fleet::Incarnation m_incarnation;
    bool m_hasResigned = false;
    fleet::ZoneId m_avoidZone;

    bool operator==(const HolderRecord &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_token, m_instance, m_incarnation, m_hasResigned, m_avoidZone);
    }
};

}

#endif
