#ifndef COMPONENTS_MEMBERSHIP_TAKE_OUT_HPP
#define COMPONENTS_MEMBERSHIP_TAKE_OUT_HPP

#include "components/configuration/identifiers.hpp"
#include "components/fleet/identifiers.hpp"
#include "components/fleet/time.hpp"

#include <string>

namespace membership
{

/// An availability zone taken out while the log could not be reached. It holds as soon as it is known, and is appended
/// as a change with the same id when the log is back; a copy appended by another instance folds once.
struct TakeOut
{
    configuration::ChangeId m_id;
    fleet::ZoneId m_zone;
    fleet::OperatorId m_operator;
    std::string m_reason;
    fleet::TimePoint m_at;

    bool operator==(const TakeOut &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_id, m_zone, m_operator, m_reason);
        fleet::serializeTime(archive, m_at);
    }
};

}

#endif
