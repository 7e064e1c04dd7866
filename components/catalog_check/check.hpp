#ifndef COMPONENTS_CATALOG_CHECK_CHECK_HPP
#define COMPONENTS_CATALOG_CHECK_CHECK_HPP

#include "components/catalog_check/finding.hpp"

#include <vector>

namespace catalog
{
struct Catalog;
}

namespace catalog_check
{

/// Returns the entries that can never match and the values that contradict each other, ordered by place. Matching is decided by the functions
/// that the running process uses to find queues and accounts.
std::vector<Finding> check(const catalog::Catalog &catalog);

/// The same, and whether the catalog replaces the one in force.
std::vector<Finding> checkAgainst(const catalog::Catalog &inForce, const catalog::Catalog &catalog);

}

#endif
