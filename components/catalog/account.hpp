#ifndef COMPONENTS_CATALOG_ACCOUNT_HPP
#define COMPONENTS_CATALOG_ACCOUNT_HPP

#include "components/fleet/identifiers.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace catalog
{

/// A client account.
struct Account
{
    fleet::AccountId m_id;
    std::vector<std::string> m_keys;
    /// Number of accelerators that are guaranteed to the account's jobs of priority 0 at all times.
    std::int64_t m_guaranteedAccelerators = 0;

    bool operator==(const Account &) const = default;
};

}

#endif
