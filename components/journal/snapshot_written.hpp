#ifndef COMPONENTS_JOURNAL_SNAPSHOT_WRITTEN_HPP
#define COMPONENTS_JOURNAL_SNAPSHOT_WRITTEN_HPP

#include <cstdint>

namespace journal
{

/// The holder has stored a snapshot. Records before its offset are no longer needed.
struct SnapshotWritten
{
    std::uint64_t m_next = 0;

    bool operator==(const SnapshotWritten &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_next);
    }
};

}

#endif
