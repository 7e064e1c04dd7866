#include "components/store/keyed_position.hpp"

#include <criterion/criterion.h>

namespace
{

fleet::BootTime at(std::int64_t milliseconds)
{
    return fleet::BootTime(fleet::Duration(milliseconds));
}

}

Test(keyedPosition, readFromAnOffsetStopsBeforeTheEnd_newestRecordsAreReadNext)
{
    store::KeyedPosition position;
    store::recordKeyedAnswer(position, true, at(100), 5, 5);
    cr_assert_eq(position.m_next, 5);
    cr_assert(!store::recordKeyedAnswer(position, false, at(200), 20, 8));
    cr_assert(!position.m_next);
    cr_assert(store::isBehind(position));
    cr_assert(store::recordKeyedAnswer(position, true, at(300), 21, 21));
    cr_assert(position.m_progress.m_asOf == at(300));
    cr_assert(!store::isBehind(position));
}

/// Pages were taken for one state of the topic, though records may have been written between them.
Test(keyedPosition, recordsAreWrittenBetweenPages_copyIsCompleteOnceTheyAreRead)
{
    store::KeyedPosition position;
    cr_assert(!store::recordKeyedAnswer(position, true, at(100), 30, 10));
    cr_assert(!position.m_progress.m_asOf);
    // The records between the pages come in several reads; starting anew after each would never end.
    cr_assert(!store::recordKeyedAnswer(position, false, at(200), 40, 20));
    cr_assert_eq(position.m_next, 20);
    cr_assert(store::recordKeyedAnswer(position, false, at(300), 50, 32));
    cr_assert(position.m_progress.m_asOf == at(100));
    cr_assert(!position.m_next);
}

Test(keyedPosition, recordIsLargerThanARead_newestRecordsAreReadNext)
{
    store::KeyedPosition position;
    store::recordKeyedAnswer(position, true, at(100), 30, 10);
    store::recordKeyedAnswer(position, false, at(200), 30, 10);
    cr_assert(!position.m_next);
}

Test(keyedPosition, readExpiresAndAllIsReadAnew_timeDoesNotGoBack)
{
    store::KeyedPosition position;
    store::recordKeyedAnswer(position, true, at(100), 5, 5);
    position.m_next.reset();
    store::recordKeyedAnswer(position, true, at(900), 70, 60);
    cr_assert(position.m_progress.m_asOf == at(100));
    store::recordKeyedAnswer(position, false, at(950), 70, 70);
    cr_assert(position.m_progress.m_asOf == at(950));
}
