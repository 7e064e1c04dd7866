#ifndef COMPONENTS_CATALOG_OPERATOR_CONFIG_READ_HPP
#define COMPONENTS_CATALOG_OPERATOR_CONFIG_READ_HPP

#include "components/catalog/operator_config_change.hpp"
#include "components/store/read_outcome.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace catalog
{

/// What a read of the operators' topic gave.
struct OperatorConfigRead
{
    store::ReadOutcome m_outcome = store::ReadOutcome::NoAnswer;
    /// Everything that is set now, rather than what changed since an offset.
    bool m_isFullRead = false;
    std::vector<OperatorConfigChange> m_changes;
    /// Where to read on.
    std::uint64_t m_next = 0;
    /// Records that could not be read, for the log.
    std::vector<std::string> m_unreadable;
    std::string m_reason;

    bool operator==(const OperatorConfigRead &) const = default;
};

}

#endif
