#ifndef COMPONENTS_STORE_APPEND_CALL_HPP
#define COMPONENTS_STORE_APPEND_CALL_HPP

#include "components/store/producer.hpp"
#include "components/store/topic.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace store
{

/// Atomically appends records to the end of a topic.
struct AppendCall
{
    Topic m_topic;
    std::vector<std::string> m_records;
    /// Keyed topics only: the key of each record.
    std::vector<std::string> m_keys;
    std::optional<Producer> m_producer;
    /// The append is refused unless the topic ends at this offset.
    std::optional<std::uint64_t> m_requiredEnd;

    bool operator==(const AppendCall &) const = default;
};

}

#endif
