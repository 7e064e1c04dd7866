#ifndef COMPONENTS_NODE_SNAPSHOT_SLOT_HPP
#define COMPONENTS_NODE_SNAPSHOT_SLOT_HPP

#include <cstdint>

namespace node
{

/// Whether a holder knows the slot of the newest stored snapshot. It must not overwrite that one, which may be the only whole one.
enum class SnapshotSlot : std::uint8_t {
    Unknown,
    /// The head of the snapshots has to be read.
    Reading,
    Known,
};

}

#endif
