#ifndef COMPONENTS_MEMBERSHIP_TAKE_OUT_HPP
#define COMPONENTS_MEMBERSHIP_TAKE_OUT_HPP

#include "components/configuration/identifiers.hpp"
#include "components/fleet/identifiers.hpp"
#include "components/fleet/time.hpp"

#include <string>

namespace membership
{

/// An availability zone that was taken out of service while the log was unreachable. It takes effect on each instance that
/// receives it, and is appended to the log as a change with the same id once the log is reachable. Copies that several
/// instances append are applied once, because they share the id.
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
