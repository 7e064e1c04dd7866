#ifndef COMPONENTS_CATALOG_CHECK_COMPARE_HPP
#define COMPONENTS_CATALOG_CHECK_COMPARE_HPP

#include "components/catalog_check/difference.hpp"

#include <vector>

namespace catalog
{
struct Catalog;
}

namespace catalog_check
{

/// Returns what changes when `next` replaces `inForce`. Entries are matched by their ids; of several with the same id, the first counts.
std::vector<Difference> compare(const catalog::Catalog &inForce, const catalog::Catalog &next);

}

#endif
