#include "components/dispatch/account_shares.hpp"

#include "components/dispatch/account_limits.hpp"
#include "components/dispatch/candidate.hpp"
#include "components/dispatch/context.hpp"
#include "components/dispatch/guarantees.hpp"
#include "components/dispatch/objectives.hpp"
#include "components/dispatch/waiting.hpp"
#include "components/jobs/step_spec.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace dispatch
{

namespace
{

/// A gang wider than its account's share is ordered as if the account were below it after this many times the length of its objective. Its job has
/// missed the objective by as much again then; an earlier exception would let wide gangs go past the shares in ordinary queues.
constexpr int objectiveLengthsBeforeException = 2;
constexpr double weightOfUnweighted = 1;

double fraction(std::int64_t use, std::int64_t all)
{
    return all > 0 ? static_cast<double>(use) / static_cast<double>(all) : 0;
}

double weightOf(const catalog::Catalog &catalog, const fleet::AccountId &id)
{
    const catalog::Account *account = catalog::findAccount(catalog, id);
    return account == nullptr ? weightOfUnweighted : account->m_weight.value_or(weightOfUnweighted);
}

fleet::Duration objectiveLength(const Context &context, const Candidate &candidate)
{
    const journal::JobRecord &job = context.m_journalState.m_jobs.at(candidate.m_step.m_job);
    return candidate.m_objective - beginOf(job, candidate.m_step.m_occurrence, criticalPathLength(job.m_spec));
}

bool isOverdueGang(const Context &context, const Candidate &candidate)
{
    const auto waited = stepWaitedFor(context, candidate.m_step);
    return candidate.m_spec->m_isGang && waited && *waited >= objectiveLength(context, candidate) * objectiveLengthsBeforeException;
}

}

bool areAccountsWeighted(const catalog::Catalog &catalog)
{
    return std::any_of(catalog.m_accounts.begin(), catalog.m_accounts.end(), [&](const catalog::Account &account) {
        return account.m_weight != catalog.m_accounts.front().m_weight;
    });
}

double dominantShare(const fleet::Resources &use, const fleet::Resources &all)
{
    return std::max({fraction(use.m_milliCores, all.m_milliCores), fraction(use.m_memoryMb, all.m_memoryMb), fraction(use.m_accelerators, all.m_accelerators)});
}

fleet::Resources listedCapacity(const State &state)
{
    fleet::Resources all;
    for (const auto &[id, worker] : state.m_workers) {
        all = worker.m_isListed ? all + worker.m_registration.m_capacity : all;
    }
    return all;
}

AccountShares makeShares(const catalog::Catalog &catalog, const std::vector<fleet::AccountId> &accounts)
{
    AccountShares shares;
    double sum = 0;
    for (const fleet::AccountId &account : accounts) {
        const auto [entry, isNew] = shares.try_emplace(account, weightOf(catalog, account));
        sum += isNew ? entry->second : 0;
    }
    for (auto &[account, share] : shares) {
        share /= sum;
    }
    return shares;
}

void orderByShare(const Context &context, std::vector<Candidate> &candidates)
{
    if (!areAccountsWeighted(context.m_catalog)) {
        return;
    }
    AccountUse use = measureAccountUse(context);
    std::vector<fleet::AccountId> accounts;
    for (const auto &[account, resources] : use) {
        accounts.push_back(account);
    }
    for (const Candidate &candidate : candidates) {
        accounts.push_back(candidate.m_account);
    }
    const AccountShares shares = makeShares(context.m_catalog, accounts);
    const fleet::Resources all = listedCapacity(context.m_state);
    std::set<jobs::StepId> first;
    for (const Candidate &candidate : candidates) {
        fleet::Resources &ofAccount = use[candidate.m_account];
        const double share = shares.at(candidate.m_account);
        const bool isWiderThanShare = dominantShare(requested(candidate, candidate.m_tasks.size()), all) > share;
        // The rest of a gang that runs in part comes first, since the members that run wait for it.
        if (dominantShare(ofAccount, all) < share || candidate.m_joinedRun > 0 || (isWiderThanShare && isOverdueGang(context, candidate))) {
            first.insert(candidate.m_step);
        }
        ofAccount = ofAccount + requested(candidate, candidate.m_tasks.size());
    }
    std::stable_sort(candidates.begin(), candidates.end(), [&](const Candidate &a, const Candidate &b) {
        return std::pair(rankOf(a), !first.contains(a.m_step)) < std::pair(rankOf(b), !first.contains(b.m_step));
    });
}

}
