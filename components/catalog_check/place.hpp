#ifndef COMPONENTS_CATALOG_CHECK_PLACE_HPP
#define COMPONENTS_CATALOG_CHECK_PLACE_HPP

#include <compare>
#include <cstddef>
#include <cstdint>

namespace catalog_check
{

/// List of the catalog that an entry belongs to. Limits and the version are not in a list.
enum class Section : std::uint8_t {
    Catalog,
    Queues,
    Services,
    Accounts,
    Limits,
};

enum class Field : std::uint8_t {
    /// The entry as a whole.
    Entry,
    Version,
    Id,
    Host,
    PathPrefix,
    Service,
    Priority,
    MaxAttempts,
    Stretch,
    Slack,
    Timeout,
    IsPublic,
    Advice,
    AdviceTimePerQuestion,
    AdviceTimePerWorker,
    AdviceValidity,
    RejectsOverload,
    IsSpare,
    Keys,
    GuaranteedAccelerators,
    MaximumMilliCores,
    MaximumMemory,
    MaximumAccelerators,
    Weight,
    MaxBodyBytes,
};

/// A field of an entry, with the position of the entry in its list.
struct Place
{
    Section m_section = Section::Catalog;
    std::size_t m_index = 0;
    Field m_field = Field::Entry;

    auto operator<=>(const Place &) const = default;
};

}

#endif
