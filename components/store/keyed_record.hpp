#ifndef COMPONENTS_STORE_KEYED_RECORD_HPP
#define COMPONENTS_STORE_KEYED_RECORD_HPP

#include <cstdint>
#include <string>

namespace store
{

/// A record of a keyed topic. An empty value marks the key as deleted.
struct KeyedRecord
{
    std::string m_key;
    std::string m_value;
    std::uint64_t m_offset = 0;

    bool operator==(const KeyedRecord &) const = default;
};

}

#endif
