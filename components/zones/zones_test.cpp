#include "components/zones/start_permission.hpp"

#include <criterion/criterion.h>

using namespace zones;

namespace
{

const fleet::TimePoint start = fleet::fromMilliseconds(1'796'367'600'000);
const fleet::TimePoint late = start + std::chrono::minutes(5);

}

Test(zones, freshView_determineStartPermission_isAllowedUnlessOut)
{
    cr_assert(determineStartPermission({}, {false, true, start, start, false}, start) == StartPermission::Allowed);
    cr_assert(determineStartPermission({}, {true, true, start, start, false}, start) == StartPermission::ZoneOut);
    cr_assert(determineStartPermission({}, {false, false, start, start, false}, start) == StartPermission::NoConfiguration);
}

Test(zones, noFreshView_determineStartPermission_needsEveryOtherZoneAndTheLatestVersion)
{
    cr_assert(determineStartPermission({}, {false, true, start, late, false}, late) == StartPermission::AllowedWithoutLog);
    cr_assert(determineStartPermission({}, {false, true, start, start, false}, late) == StartPermission::ViewStale);
    cr_assert(determineStartPermission({}, {false, true, start, late, true}, late) == StartPermission::ViewStale);
}
