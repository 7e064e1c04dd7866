#ifndef COMPONENTS_STORE_KEYED_POSITION_HPP
#define COMPONENTS_STORE_KEYED_POSITION_HPP

#include "components/store/read_progress.hpp"

#include <cstdint>
#include <optional>

namespace store
{

/// Where a copy of a keyed topic stands. It follows the topic record by record, and starts anew from the newest record of each key if
/// it has fallen behind, since these hold all that has changed without the records in between.
struct KeyedPosition
{
    /// Offset of the next read; empty while the newest record of each key has to be read.
    std::optional<std::uint64_t> m_next;
    ReadProgress m_progress;
    /// End of the topic at the last page of the latest full read. The pages are from different times, and agree only once the records
    /// before this offset have been read.
    std::uint64_t m_pagesEnd = 0;

    bool operator==(const KeyedPosition &) const = default;
};

/// Records the answer to a read of the topic. Parameters and return value are as for recordAnswer().
/// @param isFullRead The read returned the newest record of each key, not the records from an offset on.
bool recordKeyedAnswer(KeyedPosition &position, bool isFullRead, fleet::BootTime sentAt, std::uint64_t end, std::uint64_t next);

/// True if records that were there at the latest read are missing in the copy.
bool isBehind(const KeyedPosition &position);

}

#endif
