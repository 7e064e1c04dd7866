#include "components/node/journal_view.hpp"

#include "components/journal/snapshot.hpp"

#include <criterion/criterion.h>

namespace
{

constexpr std::uint64_t position = 100;
constexpr std::uint64_t oldest = 200;

/// A view that has read the journal up to `position`, of a store that keeps the records from `oldest` on.
class JournalViewFixture
{
public:
    JournalViewFixture()
    {
        m_view.m_needsSnapshot = false;
        m_view.m_nextOffset = position;
        node::recordReadSent(m_view, m_now);
        node::recordReadSent(m_view, m_now);
    }

    void readExpires(std::uint64_t from)
    {
        store::ReadResult result;
        result.m_outcome = store::ReadOutcome::Expired;
        result.m_from = from;
        result.m_oldest = oldest;
        node::applyJournalRead(m_view, result, m_now, m_now, m_changes);
    }

    void readSnapshot(std::uint64_t next)
    {
        node::applySnapshotRead(m_view, store::ReadOutcome::Read, journal::encodeSnapshot({}, next, 0), m_now, m_now);
    }

    node::JournalView m_view;

private:
    fleet::BootTime m_now {fleet::Duration(1000)};
    journal::Changes m_changes;
};

}

Test(journalView, secondReadExpiresBeforeTheSnapshotIsRead_skipsNoRecords)
{
    JournalViewFixture fixture;
    fixture.readExpires(position);
    fixture.readExpires(position);
    cr_assert(fixture.m_view.m_needsSnapshot);
    cr_assert_eq(fixture.m_view.m_nextOffset, position);
    cr_assert(!node::isIncomplete(fixture.m_view));
    fixture.readSnapshot(250);
    cr_assert_eq(fixture.m_view.m_nextOffset, 250U);
    cr_assert(!node::isIncomplete(fixture.m_view));
}

Test(journalView, secondReadExpiresAfterTheSnapshotWasRead_skipsNoRecords)
{
    JournalViewFixture fixture;
    fixture.readExpires(position);
    fixture.readSnapshot(250);
    fixture.readExpires(position);
    cr_assert(!fixture.m_view.m_needsSnapshot);
    cr_assert_eq(fixture.m_view.m_nextOffset, 250U);
    cr_assert(!node::isIncomplete(fixture.m_view));
}

Test(journalView, noSnapshotReachesTheOldestRecord_isIncompleteUntilOneDoes)
{
    JournalViewFixture fixture;
    fixture.readExpires(position);
    fixture.readSnapshot(50);
    fixture.readExpires(position);
    cr_assert_eq(fixture.m_view.m_nextOffset, oldest);
    cr_assert(node::isIncomplete(fixture.m_view));
    fixture.readSnapshot(150);
    cr_assert(node::isIncomplete(fixture.m_view));
    fixture.readSnapshot(oldest);
    cr_assert(!node::isIncomplete(fixture.m_view));
}
