#include "components/store/keyed_position.hpp"

namespace store
{

bool recordKeyedAnswer(KeyedPosition &position, bool isFullRead, fleet::BootTime sentAt, std::uint64_t end, std::uint64_t next)
{
    if (isFullRead) {
        position.m_pagesEnd = end;
    }
    // A record may be larger than a read.
    const bool isStuck = !isFullRead && next == position.m_next;
    const bool hasAdvanced = recordAnswer(position.m_progress, sentAt, end, next);
    position.m_next = next;
    if (next < end && (next >= position.m_pagesEnd || isStuck)) {
        position.m_next.reset();
    }
    return hasAdvanced;
}

bool isBehind(const KeyedPosition &position)
{
    return position.m_progress.m_partial.has_value();
}

}
