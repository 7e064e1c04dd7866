#ifndef COMPONENTS_DISPATCH_ACCOUNT_LIMITS_HPP
#define COMPONENTS_DISPATCH_ACCOUNT_LIMITS_HPP

#include "components/fleet/identifiers.hpp"
#include "components/fleet/resources.hpp"
#include "components/fleet/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace dispatch
{

struct Candidate;
struct Context;
struct RunState;
struct State;

/// Resources in use by account.
using AccountUse = std::map<fleet::AccountId, fleet::Resources>;

/// Maximum and use of one account in a plan.
struct AccountBudget
{
    /// 0 for no limit.
    fleet::Resources m_maximum;
    /// What the account may have in use at present, and what is kept for its steps that come earlier in the order.
    fleet::Resources m_use;
};

/// Budgets of the accounts with a maximum.
using AccountBudgets = std::map<fleet::AccountId, AccountBudget>;

/// Returns what a number of the candidate's tasks ask for. They count with their full request, also if they are allocated no processor cores.
fleet::Resources requested(const Candidate &candidate, std::size_t tasks);

/// Returns how many of the `wanted` tasks fit, each with the resources `perTask`.
std::size_t countWithinMaximum(const AccountBudget &budget, const fleet::Resources &perTask, std::size_t wanted);

/// Returns whether the room of a gang that its account's maximum does not allow to start yet is kept free of later steps of the account.
bool isRoomKeptForGang(fleet::Duration waited, bool isAccountBelowHalf);

/// Adds the resources of a run to the use of its account, or removes them. Called where a run is added and where it ends.
void addToAccountUse(State &state, const RunState &run);
void removeFromAccountUse(State &state, const RunState &run);

/// Returns the resources of all runs that may be running: those of the state, and those of start orders that may be carried out although the
/// run has ended.
AccountUse measureAccountUse(const Context &context);

/// Makes the budgets for one plan. Tasks that join a running gang count as use from the start, so that other steps leave room for them.
AccountBudgets makeAccountBudgets(const Context &context, const std::vector<Candidate> &candidates);

/// Takes those tasks from the candidate that the maximum of its account does not allow to start: of a gang all or none. Returns true if the
/// step has a reservation that is larger than the rest needs, which is to be dropped. Every start passes through here.
bool withholdTasks(const Context &context, AccountBudgets &budgets, Candidate &candidate);

/// Returns by how much the withheld tasks of the candidate would exceed the maximum of its account; 0 for what they do not exceed.
fleet::Resources missingBelowMaximum(const AccountBudgets &budgets, const Candidate &candidate);

/// Adds the tasks that were placed to the use of the account, and returns the withheld ones to the candidate. `ready` is the number of tasks of
/// the candidate after withholdTasks(). Keeps room for a reservation, for a
/// guaranteed step, and for a gang that has waited long below its maximum.
void settleTasks(const Context &context, AccountBudgets &budgets, Candidate &candidate, std::size_t ready);

}

#endif
