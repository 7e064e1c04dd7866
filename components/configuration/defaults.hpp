#ifndef COMPONENTS_CONFIGURATION_DEFAULTS_HPP
#define COMPONENTS_CONFIGURATION_DEFAULTS_HPP

#include "components/fleet/resources.hpp"

namespace configuration
{

/// Settings of every client account, unless an exception overrides them.
struct Defaults
{
    /// Upper bound on the resources that an account may use at once in one availability zone.
    fleet::Resources m_quota {1'000'000'000, 1'000'000'000, 1'000'000};
    int m_urgentPerHour = 60;
    /// Weight of the account's share of spare capacity, relative to the other accounts.
    double m_weight = 1.0;

    bool operator==(const Defaults &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_quota, m_urgentPerHour, m_weight);
    }
};

}

#endif
