#ifndef COMPONENTS_CATALOG_ACCOUNT_HPP
#define COMPONENTS_CATALOG_ACCOUNT_HPP

#include "components/fleet/identifiers.hpp"
#include "components/fleet/resources.hpp"

#include <cstdint>
#include <optional>
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
    /// Maximum of the resources that the account may have in use at the same time, over all workers; 0 for no limit.
    fleet::Resources m_maximum;
    /// Weight of the account when steps of equal rank compete for capacity; empty if it has none.
    std::optional<double> m_weight;

    bool operator==(const Account &) const = default;
};

}

#endif
