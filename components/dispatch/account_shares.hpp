#ifndef COMPONENTS_DISPATCH_ACCOUNT_SHARES_HPP
#define COMPONENTS_DISPATCH_ACCOUNT_SHARES_HPP

#include "components/fleet/identifiers.hpp"
#include "components/fleet/resources.hpp"

#include <map>
#include <vector>

namespace catalog
{
struct Catalog;
}

namespace dispatch
{

struct Candidate;
struct Context;
struct State;

/// Share of each account that has running or waiting work: its weight over the sum of the weights of these accounts.
using AccountShares = std::map<fleet::AccountId, double>;

/// True if the catalog holds different weights, or if one account has a weight and another has none.
bool areAccountsWeighted(const catalog::Catalog &catalog);

/// Returns the largest of the fractions of all cores, memory and accelerators.
double dominantShare(const fleet::Resources &use, const fleet::Resources &all);

/// Returns the capacity of all listed workers.
fleet::Resources listedCapacity(const State &state);

/// Returns the shares of the given accounts. An account without a weight counts as one with weight 1.
AccountShares makeShares(const catalog::Catalog &catalog, const std::vector<fleet::AccountId> &accounts);

/// Puts those of the candidates of equal rank first whose accounts are below their share, if the catalog weighs the accounts; the order among them
/// and among the others stays. The candidates have to be in order. Each candidate counts as use for the later ones of its account, so that an account
/// comes first only up to its share.
void orderByShare(const Context &context, std::vector<Candidate> &candidates);

}

#endif
