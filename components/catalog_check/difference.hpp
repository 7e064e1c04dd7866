#ifndef COMPONENTS_CATALOG_CHECK_DIFFERENCE_HPP
#define COMPONENTS_CATALOG_CHECK_DIFFERENCE_HPP

#include "components/catalog_check/place.hpp"

#include <cstdint>
#include <string>

namespace catalog_check
{

enum class DifferenceKind : std::uint8_t {
    Added,
    Removed,
    Changed,
};

/// One difference between two catalogs.
struct Difference
{
    DifferenceKind m_kind = DifferenceKind::Changed;
    Section m_section = Section::Catalog;
    /// Entry that differs; empty if the section is not a list.
    std::string m_id;
    Field m_field = Field::Entry;
    /// Values of the field. Keys are secret and only counted.
    std::string m_before;
    std::string m_after;

    bool operator==(const Difference &) const = default;
};

}

#endif
