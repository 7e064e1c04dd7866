#include "components/node/retention_monitor.hpp"

#include <chrono>

#include <criterion/criterion.h>

using namespace std::chrono_literals;

namespace
{

constexpr fleet::Duration answerTime {10};

/// A journal that gets ten records a second and is read once a second.
class RetentionFixture
{
public:
    void readAt(fleet::Duration time, std::uint64_t oldest)
    {
        const fleet::BootTime now {time};
        node::onJournalBoundsSeen(m_monitor, oldest, static_cast<std::uint64_t>(time / 100ms), now - answerTime, now);
    }

    /// Reads until the given time from a store that keeps records for `kept`.
    void readUntil(fleet::Duration end, fleet::Duration kept)
    {
        for (; m_time <= end; m_time += 1s) {
            readAt(m_time, m_time > kept ? static_cast<std::uint64_t>((m_time - kept) / 100ms) : 0);
        }
    }

    void skipTo(fleet::Duration time)
    {
        m_time = time;
    }

    node::RetentionMonitor m_monitor;

private:
    fleet::Duration m_time {0};
};

}

Test(retentionMonitor, nothingExpired_observesNothing)
{
    RetentionFixture fixture;
    fixture.readUntil(100s, 300s);
    cr_assert(!fixture.m_monitor.m_observed);
}

Test(retentionMonitor, recordsExpire_observesTheirAge)
{
    RetentionFixture fixture;
    fixture.readUntil(30s, 10s);
    cr_assert(fixture.m_monitor.m_observed);
    cr_assert_geq(fixture.m_monitor.m_observed->count(), 10'000);
    cr_assert_leq(fixture.m_monitor.m_observed->count(), 11'200);
}

Test(retentionMonitor, recordsExpireThatWereStoredBeforeTheStart_observesNothing)
{
    RetentionFixture fixture;
    fixture.skipTo(50s);
    fixture.readUntil(59s, 10s);
    cr_assert(!fixture.m_monitor.m_observed);
    fixture.readUntil(62s, 10s);
    cr_assert(fixture.m_monitor.m_observed);
}

/// All records expire while none is written. Those written next are young, which says nothing about the retention.
Test(retentionMonitor, allRecordsExpiredDuringAnOutage_keepsTheObservedAge)
{
    RetentionFixture fixture;
    fixture.readUntil(30s, 10s);
    node::RetentionMonitor &monitor = fixture.m_monitor;
    for (fleet::BootTime now {45s}; now <= fleet::BootTime {53s}; now += 1s) {
        node::onJournalBoundsSeen(monitor, 300, 300 + static_cast<std::uint64_t>((now - fleet::BootTime {45s}) / 1s), now - answerTime, now);
        cr_assert(monitor.m_observed && *monitor.m_observed >= 10s);
    }
}

Test(retentionMonitor, retentionIsRaised_observesNothingOnceYoungRecordsNoLongerExpire)
{
    RetentionFixture fixture;
    fixture.readUntil(30s, 10s);
    fixture.readUntil(400s, 300s);
    cr_assert(!fixture.m_monitor.m_observed);
}

Test(retentionMonitor, answersOutOfOrder_changeNothing)
{
    RetentionFixture fixture;
    fixture.readUntil(30s, 10s);
    const node::RetentionMonitor before = fixture.m_monitor;
    node::onJournalBoundsSeen(fixture.m_monitor, 150, 250, fleet::BootTime {25s}, fleet::BootTime {30s});
    cr_assert(fixture.m_monitor == before);
}

Test(retentionMonitor, readsInQuickSuccession_boundedMemory)
{
    node::RetentionMonitor monitor;
    std::uint64_t end = 0;
    for (fleet::BootTime now {1s}; now < fleet::BootTime {200s}; now += 5ms) {
        node::onJournalBoundsSeen(monitor, 0, ++end, now - answerTime, now);
    }
    cr_assert_leq(monitor.m_lastSeenAt.size(), 602U);
}
