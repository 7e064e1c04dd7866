#ifndef COMPONENTS_DISPATCH_ACCOUNT_STATS_HPP
#define COMPONENTS_DISPATCH_ACCOUNT_STATS_HPP

#include "components/fleet/identifiers.hpp"
#include "components/fleet/resources.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace catalog
{
struct Catalog;
}

namespace journal
{
struct JournalState;
}

namespace dispatch
{

struct State;

/// Use and limits of one account, for the metrics.
struct AccountStats
{
    fleet::AccountId m_account;
    /// What its open runs ask for.
    fleet::Resources m_running;
    fleet::Resources m_maximum;
    /// Share by its weight, in thousandths; 0 while it has no work.
    std::int64_t m_sharePermille = 0;
    std::size_t m_waitingSteps = 0;

    bool operator==(const AccountStats &) const = default;
};

/// Returns the figures of the accounts of the catalog, in its order, if it gives any of them a maximum or a weight; otherwise nothing.
std::vector<AccountStats> measureAccounts(const State &state, const journal::JournalState &journalState, const catalog::Catalog &catalog);

}

#endif
