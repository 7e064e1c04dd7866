#ifndef COMPONENTS_JOURNAL_HOLDER_RESIGNED_HPP
#define COMPONENTS_JOURNAL_HOLDER_RESIGNED_HPP

#include "components/fleet/fencing_token.hpp"
#include "components/fleet/identifiers.hpp"

namespace journal
{

/// The holder gives up the scheduling duty and sends no more orders.
struct HolderResigned
{
    fleet::FencingToken m_token;
    /// A zone whose instances should not take over, such as a partitioned one; empty if any instance may.
    fleet::ZoneId m_avoidZone;

    bool operator==(const HolderResigned &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_token, m_avoidZone);
    }
};

}

#endif
