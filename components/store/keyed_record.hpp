#ifndef COMPONENTS_STORE_KEYED_RECORD_HPP
#define COMPONENTS_STORE_KEYED_RECORD_HPP

#include <cstdint>
#include <string>

namespace store
{

/// A record of a keyed topic. Without a value the key was dropped.
struct KeyedRecord
{
    std::string m_key;
    std::string m_value;
    std::uint64_t m_offset = 0;

    bool operator==(const KeyedRecord &) const = default;
};

}

#endif
