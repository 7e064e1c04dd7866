#ifndef COMPONENTS_STORE_PRODUCER_HPP
#define COMPONENTS_STORE_PRODUCER_HPP

#include <cstdint>
#include <string>

namespace store
{

/// Identifies the writer of an append. The store accepts each sequence number of an epoch once and refuses every epoch below the
/// highest seen, so that a repeated append is stored once and a replaced writer is fenced off.
struct Producer
{
    std::string m_name;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_sequence = 0;

    bool operator==(const Producer &) const = default;
};

}

#endif
