#ifndef COMPONENTS_NODE_APPEND_TAG_HPP
#define COMPONENTS_NODE_APPEND_TAG_HPP

#include <cstdint>

namespace node
{

/// Which of the instance's writers made an append, and for which batch.
struct AppendTag
{
    bool m_isHolder = false;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_sequence = 0;

    bool operator==(const AppendTag &) const = default;
};

}

#endif
