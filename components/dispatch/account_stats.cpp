#include "components/dispatch/account_stats.hpp"

#include "components/catalog/catalog.hpp"
#include "components/dispatch/account_shares.hpp"
#include "components/dispatch/state.hpp"
#include "components/journal/journal_state.hpp"

#include <algorithm>
#include <cmath>
#include <map>

namespace dispatch
{

std::vector<AccountStats> measureAccounts(const State &state, const journal::JournalState &journalState, const catalog::Catalog &catalog)
{
    const bool isAnyLimited = std::any_of(catalog.m_accounts.begin(), catalog.m_accounts.end(), [](const catalog::Account &account) {
        return account.m_maximum != fleet::Resources() || account.m_weight;
    });
    if (!isAnyLimited) {
        return {};
    }
    std::map<fleet::AccountId, std::size_t> waiting;
    for (const auto &[step, waitingStep] : state.m_waitingSteps) {
        if (const journal::JobRecord *job = journal::findJob(journalState, step.m_job)) {
            ++waiting[job->m_spec.m_account];
        }
    }
    std::vector<fleet::AccountId> active;
    for (const auto &[account, use] : state.m_accountUse) {
        active.push_back(account);
    }
    for (const auto &[account, steps] : waiting) {
        active.push_back(account);
    }
    const AccountShares shares = makeShares(catalog, active);
    constexpr double thousandths = 1000;
    std::vector<AccountStats> result;
    for (const catalog::Account &account : catalog.m_accounts) {
        AccountStats stats;
        stats.m_account = account.m_id;
        stats.m_maximum = account.m_maximum;
        if (const auto use = state.m_accountUse.find(account.m_id); use != state.m_accountUse.end()) {
            stats.m_running = use->second;
        }
        if (const auto share = shares.find(account.m_id); share != shares.end()) {
            stats.m_sharePermille = std::lround(share->second * thousandths);
        }
        if (const auto steps = waiting.find(account.m_id); steps != waiting.end()) {
            stats.m_waitingSteps = steps->second;
        }
        result.push_back(std::move(stats));
    }
    return result;
}

}
