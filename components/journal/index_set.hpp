#ifndef COMPONENTS_JOURNAL_INDEX_SET_HPP
#define COMPONENTS_JOURNAL_INDEX_SET_HPP

#include <cstdint>
#include <map>

namespace journal
{

/// A set of indices, stored as ranges. Takes as much memory as it has gaps, not members.
class IndexSet
{
public:
    bool contains(std::uint32_t index) const;
    void insert(std::uint32_t index);
    /// Number of members.
    std::uint64_t size() const;
    std::size_t rangeCount() const;
    /// Returns the lowest index from `from` on that is not a member.
    std::uint32_t firstMissing(std::uint32_t from) const;

    bool operator==(const IndexSet &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_ranges, m_size);
    }

private:
    /// Ranges of members, the first index and the one after the last. They neither overlap nor touch.
    std::map<std::uint32_t, std::uint32_t> m_ranges;
    std::uint64_t m_size = 0;
};

}

#endif
