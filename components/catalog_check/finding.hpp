#ifndef COMPONENTS_CATALOG_CHECK_FINDING_HPP
#define COMPONENTS_CATALOG_CHECK_FINDING_HPP

#include "components/catalog_check/place.hpp"

#include <string>

namespace catalog_check
{

/// Something in a catalog that takes no effect, or another one than was probably meant.
struct Finding
{
    Place m_place;
    std::string m_sentence;
    std::string m_remedy;

    bool operator==(const Finding &) const = default;
};

}

#endif
