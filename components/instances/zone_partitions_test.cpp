#include "components/instances/zone_site.hpp"

#include <rapidcheck.h>

#include <criterion/criterion.h>

using namespace instances;

Test(zoneSite, partitionsPausesAndRacingOperators_zoneTakenOut_startsNothingAfterTheGrace)
{
    const bool holds = rc::check([] {
        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
        ZoneSite site(seed);
        site.run();
        RC_ASSERT(site.violation() == std::string());
    });
    cr_assert(holds);
}

Test(zoneSite, logUnreachable_someSeeds_stillAllowStarts)
{
    int starts = 0;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        ZoneSite site(seed);
        site.run();
        starts += site.startsWithoutLog();
    }
    cr_assert_gt(starts, 10);
}
