#include "components/journal/index_set.hpp"

#include <iterator>

namespace journal
{

bool IndexSet::contains(std::uint32_t index) const
{
    return firstMissing(index) != index;
}

std::uint64_t IndexSet::size() const
{
    return m_size;
}

std::size_t IndexSet::rangeCount() const
{
    return m_ranges.size();
}

std::uint32_t IndexSet::firstMissing(std::uint32_t from) const
{
    const auto after = m_ranges.upper_bound(from);
    if (after == m_ranges.begin()) {
        return from;
    }
    const auto range = std::prev(after);
    return from < range->second ? range->second : from;
}

void IndexSet::insert(std::uint32_t index)
{
    if (contains(index)) {
        return;
    }
    ++m_size;
    auto range = m_ranges.emplace(index, index + 1).first;
    if (range != m_ranges.begin() && std::prev(range)->second == index) {
        range = std::prev(range);
        range->second = index + 1;
        m_ranges.erase(std::next(range));
    }
    const auto next = std::next(range);
    if (next != m_ranges.end() && next->first == range->second) {
        range->second = next->second;
        m_ranges.erase(next);
    }
}

}
