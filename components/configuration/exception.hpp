#ifndef COMPONENTS_CONFIGURATION_EXCEPTION_HPP
#define COMPONENTS_CONFIGURATION_EXCEPTION_HPP

#include "components/configuration/identifiers.hpp"
#include "components/fleet/guaranteed_shape.hpp"
#include "components/fleet/identifiers.hpp"
#include "components/fleet/resources.hpp"
#include "components/fleet/time.hpp"

#include <optional>
#include <string>
#include <vector>

namespace configuration
{

/// Overrides the defaults, or an account's guarantees, for a limited time and with a written reason.
///
/// Of two exceptions that set the same value, one that names an account takes precedence over one that does not;
/// otherwise the one that was put later takes precedence.
struct Exception
{
    ExceptionId m_id;
    fleet::OperatorId m_operator;
    std::string m_reason;
    fleet::TimePoint m_from;
    /// The exception ends at this time and is no longer in force then.
    fleet::TimePoint m_until;
    /// Empty for every account.
    fleet::AccountId m_account;
    /// Empty for every availability zone.
    fleet::ZoneId m_zone;
    /// Replaces the account's guarantees. Needs an account and no zone, because each shape names its own zones.
    std::optional<std::vector<fleet::GuaranteedShape>> m_guarantees;
    std::optional<fleet::Resources> m_quota;
    std::optional<int> m_urgentPerHour;
    std::optional<double> m_weight;

    bool operator==(const Exception &) const = default;

    bool isInForce(fleet::TimePoint now) const
    {
        return m_from <= now && now < m_until;
    }

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_id, m_operator, m_reason);
        fleet::serializeTime(archive, m_from);
        fleet::serializeTime(archive, m_until);
        archive(m_account, m_zone, m_guarantees, m_quota, m_urgentPerHour, m_weight);
    }
};

}

#endif
