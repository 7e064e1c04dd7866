#ifndef COMPONENTS_NODE_APPEND_TAG_HPP
#define COMPONENTS_NODE_APPEND_TAG_HPP

#include "components/node/writer_kind.hpp"

#include <cstdint>

namespace node
{

/// Which of the instance's writers made an append, and for which batch.
struct AppendTag
{
    WriterKind m_writer = WriterKind::Callers;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_sequence = 0;

    bool operator==(const AppendTag &) const = default;
};

}

#endif
