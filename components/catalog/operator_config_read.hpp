#ifndef COMPONENTS_CATALOG_OPERATOR_CONFIG_READ_HPP
#define COMPONENTS_CATALOG_OPERATOR_CONFIG_READ_HPP

#include "components/catalog/operator_config_change.hpp"
#include "components/store/read_outcome.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace catalog
{

/// Result of a read of the operators' topic.
struct OperatorConfigRead
{
    store::ReadOutcome m_outcome = store::ReadOutcome::NoAnswer;
    /// True if m_changes holds the whole configuration, false if only the changes since an offset.
    bool m_isFullRead = false;
    std::vector<OperatorConfigChange> m_changes;
    /// Offset for the next read.
    std::uint64_t m_next = 0;
    /// End of the topic when the read was answered. If it is beyond m_next, records between the two are missing or, in a full read of
    /// several pages, are in some pages and not in others.
    std::uint64_t m_end = 0;
    /// Descriptions of the records that could not be decoded, for the log.
    std::vector<std::string> m_unreadable;
    std::string m_reason;

    bool operator==(const OperatorConfigRead &) const = default;
};

}

#endif
