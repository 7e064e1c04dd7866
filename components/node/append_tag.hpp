#ifndef COMPONENTS_NODE_APPEND_TAG_HPP
#define COMPONENTS_NODE_APPEND_TAG_HPP

#include "components/node/writer_kind.hpp"

#include <cstdint>

namespace node
{

/// Identifies an append: the writer that made it, and the writer's epoch and the batch's sequence number.
struct AppendTag
{
    WriterKind m_writer = WriterKind::Callers;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_sequence = 0;

    bool operator==(const AppendTag &) const = default;
};

}

#endif
