#include "components/instances/request_site.hpp"

#include <rapidcheck.h>

#include <criterion/criterion.h>

using namespace instances;

namespace
{

/// Short retention, so that callers also repeat requests that the instances no longer remember.
requests::Settings shortRetention()
{
    requests::Settings settings;
    settings.m_retention = std::chrono::seconds(2);
    settings.m_attemptTimeout = std::chrono::seconds(1);
    settings.m_nonIdempotentAttemptTimeout = std::chrono::seconds(5);
    return settings;
}

bool holdsForAnySeed(const requests::Settings &settings)
{
    return rc::check([&] {
        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
        RequestSite site(seed, settings);
        site.run();
        RC_ASSERT(site.findViolation() == std::string());
    });
}

}

Test(requestSite, killsPausesStopsAndBadMessages_everyRequest_runsAtMostOnceAndGetsItsTrueOutcome)
{
    cr_assert(holdsForAnySeed({}));
}

Test(requestSite, shortRetention_forgottenRequests_areNeverTakenForNew)
{
    cr_assert(holdsForAnySeed(shortRetention()));
}

Test(requestSite, hedging_idempotentRequests_meetTheSameGuarantees)
{
    requests::Settings settings;
    settings.m_hedgeAfter = std::chrono::milliseconds(100);
    cr_assert(holdsForAnySeed(settings));
}

Test(requestSite, faultsOverManySeeds_mostCallers_getTheirAnswer)
{
    int done = 0;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        RequestSite site(seed, {});
        site.run();
        done += site.countDone();
    }
    cr_log_info("%d answers in 10 runs", done);
    cr_assert_gt(done, 100);
}
