#ifndef COMPONENTS_CONFIGURATION_ACCOUNT_HPP
#define COMPONENTS_CONFIGURATION_ACCOUNT_HPP

#include "components/fleet/guaranteed_shape.hpp"
#include "components/fleet/identifiers.hpp"

#include <vector>

namespace configuration
{

/// A client account as an operator created it. All its other settings come from the defaults or from exceptions.
struct Account
{
    fleet::AccountId m_id;
    std::vector<fleet::GuaranteedShape> m_guarantees;

    bool operator==(const Account &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_id, m_guarantees);
    }
};

}

#endif
