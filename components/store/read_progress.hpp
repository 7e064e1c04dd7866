#ifndef COMPONENTS_STORE_READ_PROGRESS_HPP
#define COMPONENTS_STORE_READ_PROGRESS_HPP

#include "components/fleet/boot_time.hpp"
#include "components/store/partial_read.hpp"

#include <cstdint>
#include <optional>

namespace store
{

/// As of when a copy of a topic is complete.
///
/// A read returns a limited number of bytes, so it may stop before the end of the topic. What was stored before the read was sent
/// precedes the end that its answer names. The copy is therefore complete as of that read once it holds all records before this end,
/// whichever read returned them; it need not have caught up with records that were stored later.
struct ReadProgress
{
    /// Everything stored before this time is in the copy; empty until that can be said of any time.
    std::optional<fleet::BootTime> m_asOf;
    /// The first read since m_asOf whose end has not been reached; empty if the last answer reached its end.
    std::optional<PartialRead> m_partial;

    bool operator==(const ReadProgress &) const = default;
};

/// Records the answer to a read.
/// @param sentAt When the read was sent, for a read of several pages the first of them.
/// @param end End of the topic that the answer names, for a read of several pages that of the last one.
/// @param next The copy holds all records before this offset.
/// @return True if the copy is complete as of a later time than before.
bool recordAnswer(ReadProgress &progress, fleet::BootTime sentAt, std::uint64_t end, std::uint64_t next);

}

#endif
