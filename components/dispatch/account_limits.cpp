#include "components/dispatch/account_limits.hpp"

#include "components/dispatch/candidate.hpp"
#include "components/dispatch/context.hpp"
#include "components/dispatch/stray_runs.hpp"
#include "components/dispatch/unanswered_starts.hpp"
#include "components/dispatch/waiting.hpp"
#include "components/jobs/step_spec.hpp"

#include <algorithm>
#include <limits>

namespace dispatch
{

namespace
{

/// After this wait at the maximum of its account, the room for a gang is kept free of later steps of the account; otherwise small tasks would
/// take up each part of it that becomes free. As long as a gang waits for capacity before workers are reserved for it.
constexpr fleet::Duration waitBeforeRoomIsKept {1500};
/// The room is kept and given back in turns of this length, since a gang whose room does not become free, for example beside long-running
/// tasks, would otherwise stop all other work of the account.
constexpr fleet::Duration turnOfKeptRoom {6000};
/// The same while the account uses less than half of its maximum. A step that stands still for 3 s although its account has half of its
/// maximum left counts as lost.
constexpr fleet::Duration turnOfKeptRoomBelowHalf {2000};

std::size_t countWithin(std::int64_t maximum, std::int64_t use, std::int64_t perTask)
{
    if (maximum == 0 || perTask <= 0) {
        return std::numeric_limits<std::size_t>::max();
    }
    return static_cast<std::size_t>(std::max<std::int64_t>(0, maximum - use) / perTask);
}

void add(AccountUse &use, const fleet::AccountId &account, const fleet::Resources &amount)
{
    fleet::Resources &sum = use[account];
    sum = sum + amount;
}

AccountBudget *findBudget(AccountBudgets &budgets, const Candidate &candidate)
{
    const auto found = budgets.find(candidate.m_account);
    return found == budgets.end() ? nullptr : &found->second;
}

fleet::Resources reservedFor(const Context &context, const Candidate &candidate)
{
    fleet::Resources sum;
    if (const auto reservation = context.m_state.m_reservations.find(candidate.m_step); reservation != context.m_state.m_reservations.end()) {
        for (const auto &[worker, resources] : reservation->second.m_resources) {
            sum = sum + resources;
        }
    }
    return sum;
}

bool isBelowHalf(const AccountBudget &budget)
{
    const auto isBelow = [](std::int64_t use, std::int64_t maximum) {
        return maximum == 0 || 2 * use < maximum;
    };
    return isBelow(budget.m_use.m_milliCores, budget.m_maximum.m_milliCores) && isBelow(budget.m_use.m_memoryMb, budget.m_maximum.m_memoryMb)
        && isBelow(budget.m_use.m_accelerators, budget.m_maximum.m_accelerators);
}

}

std::size_t countWithinMaximum(const AccountBudget &budget, const fleet::Resources &perTask, std::size_t wanted)
{
    return std::min({wanted,
                     countWithin(budget.m_maximum.m_milliCores, budget.m_use.m_milliCores, perTask.m_milliCores),
                     countWithin(budget.m_maximum.m_memoryMb, budget.m_use.m_memoryMb, perTask.m_memoryMb),
                     countWithin(budget.m_maximum.m_accelerators, budget.m_use.m_accelerators, perTask.m_accelerators)});
}

fleet::Resources requested(const Candidate &candidate, std::size_t tasks)
{
    return candidate.m_spec->m_perTask * static_cast<std::int64_t>(tasks);
}

bool isRoomKeptForGang(fleet::Duration waited, bool isAccountBelowHalf)
{
    if (waited < waitBeforeRoomIsKept) {
        return false;
    }
    const fleet::Duration turn = isAccountBelowHalf ? turnOfKeptRoomBelowHalf : turnOfKeptRoom;
    return (waited - waitBeforeRoomIsKept) / turn % 2 == 0;
}

void addToAccountUse(State &state, const RunState &run)
{
    add(state.m_accountUse, run.m_account, run.m_requested);
}

void removeFromAccountUse(State &state, const RunState &run)
{
    const auto found = state.m_accountUse.find(run.m_account);
    if (found == state.m_accountUse.end()) {
        return;
    }
    found->second = found->second - run.m_requested;
    if (found->second == fleet::Resources()) {
        state.m_accountUse.erase(found);
    }
}

AccountUse measureAccountUse(const Context &context)
{
    AccountUse use = context.m_state.m_accountUse;
    for (const auto &[worker, strays] : context.m_state.m_strayRuns) {
        for (const auto &[run, stray] : strays) {
            if (!isStrayRunOver(context, worker, stray)) {
                add(use, stray.m_account, stray.m_requested);
            }
        }
    }
    for (const auto &[worker, starts] : context.m_state.m_unansweredStarts) {
        const auto strays = context.m_state.m_strayRuns.find(worker);
        for (const auto &[run, start] : starts) {
            const bool isStray
                = strays != context.m_state.m_strayRuns.end() && strays->second.contains(run) && !isStrayRunOver(context, worker, strays->second.at(run));
            if (!isStray && mayStillBeCarriedOut(context, worker, run, start)) {
                add(use, start.m_account, start.m_requested);
            }
        }
    }
    return use;
}

AccountBudgets makeAccountBudgets(const Context &context, const std::vector<Candidate> &candidates)
{
    AccountBudgets budgets;
    for (const catalog::Account &account : context.m_catalog.m_accounts) {
        // Of several rows of one account the first is in force.
        if (account.m_maximum != fleet::Resources() && catalog::findAccount(context.m_catalog, account.m_id) == &account) {
            budgets[account.m_id].m_maximum = account.m_maximum;
        }
    }
    if (budgets.empty()) {
        return budgets;
    }
    for (const auto &[account, use] : measureAccountUse(context)) {
        if (const auto budget = budgets.find(account); budget != budgets.end()) {
            budget->second.m_use = use;
        }
    }
    for (const Candidate &candidate : candidates) {
        AccountBudget *budget = candidate.m_joinedRun > 0 ? findBudget(budgets, candidate) : nullptr;
        if (budget != nullptr) {
            budget->m_use = budget->m_use + requested(candidate, candidate.m_tasks.size());
        }
    }
    return budgets;
}

bool withholdTasks(const Context &context, AccountBudgets &budgets, Candidate &candidate)
{
    AccountBudget *budget = findBudget(budgets, candidate);
    if (budget == nullptr) {
        return false;
    }
    const std::size_t wanted = candidate.m_tasks.size();
    if (candidate.m_joinedRun > 0) {
        budget->m_use = budget->m_use - requested(candidate, wanted);
    }
    std::size_t allowed = countWithinMaximum(*budget, candidate.m_spec->m_perTask, wanted);
    if (candidate.m_spec->m_isGang && allowed < wanted) {
        allowed = 0;
    }
    if (allowed == wanted) {
        return false;
    }
    const auto first = candidate.m_tasks.begin() + static_cast<std::ptrdiff_t>(allowed);
    candidate.m_withheldTasks.assign(first, candidate.m_tasks.end());
    candidate.m_tasks.erase(first, candidate.m_tasks.end());
    return !reservedFor(context, candidate).fitsIn(candidate.m_perTask * static_cast<std::int64_t>(allowed));
}

fleet::Resources missingBelowMaximum(const AccountBudgets &budgets, const Candidate &candidate)
{
    const auto found = budgets.find(candidate.m_account);
    if (found == budgets.end()) {
        return {};
    }
    const fleet::Resources wanted = found->second.m_use + requested(candidate, candidate.m_withheldTasks.size());
    const fleet::Resources &maximum = found->second.m_maximum;
    const auto excess = [](std::int64_t amount, std::int64_t limit) {
        return limit == 0 ? 0 : std::max<std::int64_t>(0, amount - limit);
    };
    return {excess(wanted.m_milliCores, maximum.m_milliCores),
            excess(wanted.m_memoryMb, maximum.m_memoryMb),
            excess(wanted.m_accelerators, maximum.m_accelerators)};
}

void settleTasks(const Context &context, AccountBudgets &budgets, Candidate &candidate, std::size_t ready)
{
    AccountBudget *budget = findBudget(budgets, candidate);
    if (budget == nullptr) {
        return;
    }
    const std::size_t left = candidate.m_tasks.size();
    const bool isRoomKept = candidate.m_joinedRun > 0 || context.m_state.m_reservations.contains(candidate.m_step);
    budget->m_use = budget->m_use + requested(candidate, ready - (isRoomKept ? 0 : left));
    const fleet::Resources withheld = requested(candidate, candidate.m_withheldTasks.size());
    const bool canEverStart
        = countWithinMaximum({budget->m_maximum, {}}, candidate.m_spec->m_perTask, candidate.m_withheldTasks.size()) == candidate.m_withheldTasks.size();
    const bool isKeptForGang
        = candidate.m_spec->m_isGang && isRoomKeptForGang(stepWaitedFor(context, candidate.m_step).value_or(fleet::Duration(0)), isBelowHalf(*budget));
    if (canEverStart && (candidate.m_isGuaranteed || isKeptForGang)) {
        budget->m_use = budget->m_use + withheld;
    }
    candidate.m_tasks.insert(candidate.m_tasks.end(), candidate.m_withheldTasks.begin(), candidate.m_withheldTasks.end());
}

}
