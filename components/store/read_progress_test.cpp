#include "components/store/read_progress.hpp"

#include <criterion/criterion.h>

namespace
{

fleet::BootTime at(std::int64_t milliseconds)
{
    return fleet::BootTime(fleet::Duration(milliseconds));
}

}

Test(readProgress, firstReadStopsBeforeTheEnd_copyIsCompleteAsOfNoTime)
{
    store::ReadProgress progress;
    cr_assert(!store::recordAnswer(progress, at(100), 10, 4));
    cr_assert(!progress.m_asOf);
}

Test(readProgress, secondReadReachesTheEndOfTheFirst_copyIsCompleteAsOfTheFirst)
{
    store::ReadProgress progress;
    store::recordAnswer(progress, at(100), 10, 4);
    cr_assert(store::recordAnswer(progress, at(200), 30, 10));
    cr_assert(progress.m_asOf == at(100));
    cr_assert((progress.m_partial == store::PartialRead {at(200), 30}));
}

Test(readProgress, secondReadReachesItsOwnEnd_copyIsCompleteAsOfTheSecond)
{
    store::ReadProgress progress;
    store::recordAnswer(progress, at(100), 10, 4);
    cr_assert(store::recordAnswer(progress, at(200), 12, 12));
    cr_assert(progress.m_asOf == at(200));
    cr_assert(!progress.m_partial);
}

Test(readProgress, secondReadStopsBeforeTheEndOfTheFirst_timeStays)
{
    store::ReadProgress progress;
    store::recordAnswer(progress, at(50), 3, 3);
    store::recordAnswer(progress, at(100), 10, 5);
    cr_assert(!store::recordAnswer(progress, at(200), 12, 7));
    cr_assert(progress.m_asOf == at(50));
    cr_assert((progress.m_partial == store::PartialRead {at(100), 10}));
}

/// A copy that always stays one read behind a busy topic was never complete.
Test(readProgress, eachReadStopsBeforeItsEnd_timeFollowsOneReadBehind)
{
    store::ReadProgress progress;
    for (std::uint64_t i = 1; i < 50; ++i) {
        store::recordAnswer(progress, at(static_cast<std::int64_t>(i) * 10), i * 4 + 4, i * 4);
        cr_assert(i == 1 || progress.m_asOf == at((static_cast<std::int64_t>(i) - 1) * 10));
    }
}

Test(readProgress, earlierReadIsAnsweredLast_timeStays)
{
    store::ReadProgress progress;
    store::recordAnswer(progress, at(200), 10, 10);
    cr_assert(!store::recordAnswer(progress, at(100), 9, 10));
    cr_assert(progress.m_asOf == at(200));
}
