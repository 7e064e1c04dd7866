#include "components/records/snapshot_schedule.hpp"

#include <algorithm>

namespace records
{

bool isSnapshotDue(const SnapshotSettings &settings, const SnapshotView &view, std::uint64_t rank, std::uint64_t instances, fleet::TimePoint now)
{
    if (view.m_next <= view.m_snapshotEnd) {
        return false;
    }
    const std::uint64_t count = std::max<std::uint64_t>(1, instances);
    const std::uint64_t turn = (rank + count - view.m_snapshotEnd % count) % count;
    const fleet::Duration wait = settings.m_delayPerTurn * static_cast<std::int64_t>(turn);
    const fleet::TimePoint since = view.m_snapshotAt.value_or(view.m_readingSince);
    if (since + settings.m_maxAge + wait <= now) {
        return true;
    }
    const std::uint64_t entries = view.m_next - view.m_snapshotEnd;
    const std::uint64_t allowed = settings.m_maxEntries + settings.m_maxEntries / 100 * turn;
    return entries >= allowed;
}

}
