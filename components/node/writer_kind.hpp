#ifndef COMPONENTS_NODE_WRITER_KIND_HPP
#define COMPONENTS_NODE_WRITER_KIND_HPP

#include <cstdint>

namespace node
{

/// The writers of one instance.
enum class WriterKind : std::uint8_t {
    /// Writes the submissions and cancellations of callers, and the start of the instance.
    Callers,
    /// Writes the records of the holder of the scheduling duty.
    Holder,
    Snapshots,
};

}

#endif
