#include "components/instances/duty_site.hpp"

#include <rapidcheck.h>

#include <criterion/criterion.h>

using namespace instances;

Test(dutySite, partitionsPausesAndTakeovers_job_neverRunsOnTwoWorkersAtOnce)
{
    const bool holds = rc::check([] {
        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
        DutySite site(seed);
        site.run();
        RC_ASSERT(site.violation() == std::string());
    });
    cr_assert(holds);
}

Test(dutySite, someSeeds_dutyAndJob_areTakenAndStartedAgain)
{
    int starts = 0;
    int claims = 0;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        DutySite site(seed);
        site.run();
        starts += site.starts();
        claims += site.claims();
    }
    cr_log_info("%d claims and %d starts in 10 runs", claims, starts);
    cr_assert_gt(claims, 20);
    cr_assert_gt(starts, 20);
}
