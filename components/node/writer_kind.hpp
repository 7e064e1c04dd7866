#ifndef COMPONENTS_NODE_WRITER_KIND_HPP
#define COMPONENTS_NODE_WRITER_KIND_HPP

#include <cstdint>

namespace node
{

/// Which of an instance's writers.
enum class WriterKind : std::uint8_t {
    /// What callers hand in.
    Callers,
    /// What the holder of the scheduling duty records.
    Holder,
    Snapshots,
};

}

#endif
