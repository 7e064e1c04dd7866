#include "components/node/worker_list_view.hpp"

#include <criterion/criterion.h>

namespace
{

fleet::BootTime at(std::int64_t milliseconds)
{
    return fleet::BootTime(fleet::Duration(milliseconds));
}

workers::WorkerListChange entry(const std::string &id)
{
    workers::Registration registration;
    registration.m_incarnation.m_worker = fleet::WorkerId(id);
    return {fleet::WorkerId(id), registration, {}};
}

workers::WorkerListRead makeRead(bool isFull, const std::vector<workers::WorkerListChange> &changes, std::uint64_t next, std::uint64_t end)
{
    workers::WorkerListRead read;
    read.m_outcome = store::ReadOutcome::Read;
    read.m_isFullRead = isFull;
    read.m_changes = changes;
    read.m_next = next;
    read.m_end = end;
    return read;
}

/// A view with an open read that was sent at 100 ms.
struct WorkerListViewFixture
{
    WorkerListViewFixture()
    {
        m_view.m_readSentAt = at(100);
    }

    node::WorkerListView m_view;
};

}

/// The list was used before the records between its pages had been read.
Test(workerListView, recordsAreWrittenBetweenPages_viewIsNotCompleteBeforeTheyAreRead)
{
    WorkerListViewFixture fixture;
    cr_assert(!node::applyWorkerListRead(fixture.m_view, makeRead(true, {entry("a")}, 5, 7), at(100), at(110)));
    cr_assert(fixture.m_view.m_nextReadAt <= at(110));
    fixture.m_view.m_readSentAt = at(120);
    cr_assert(node::applyWorkerListRead(fixture.m_view, makeRead(false, {entry("b"), entry("c")}, 7, 7), at(120), at(130)));
    cr_assert_eq(node::registrationsOf(fixture.m_view).size(), 3);
}

Test(workerListView, readStopsBeforeTheEnd_wholeListIsReadAtOnce)
{
    WorkerListViewFixture fixture;
    node::applyWorkerListRead(fixture.m_view, makeRead(true, {entry("a")}, 5, 5), at(100), at(110));
    fixture.m_view.m_readSentAt = at(200);
    fixture.m_view.m_nextReadAt = at(700);
    cr_assert(!node::applyWorkerListRead(fixture.m_view, makeRead(false, {entry("b")}, 6, 90), at(200), at(210)));
    cr_assert(!fixture.m_view.m_position.m_next);
    cr_assert(fixture.m_view.m_nextReadAt <= at(210));
}

/// The changes since an offset were taken for a whole list by a holder that had not read the entries before them.
Test(workerListView, answerToAReadOfAFormerView_isIgnored)
{
    WorkerListViewFixture fixture;
    cr_assert(!node::applyWorkerListRead(fixture.m_view, makeRead(false, {entry("b")}, 9, 9), at(50), at(110)));
    cr_assert(fixture.m_view.m_readSentAt == at(100));
    cr_assert(!fixture.m_view.m_position.m_next);
    cr_assert(fixture.m_view.m_registrations.empty());
}
