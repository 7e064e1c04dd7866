#include "components/estimates/run_times.hpp"

#include <rapidcheck.h>

#include <criterion/criterion.h>

namespace
{

using namespace std::chrono_literals;

fleet::JobSpec makeSpec(fleet::Duration declared)
{
    fleet::JobSpec spec;
    spec.m_account = fleet::AccountId("a");
    spec.m_kind = "render";
    spec.m_declaredRunTime = declared;
    return spec;
}

}

Test(runTimes, noHistory_estimate_isTheDeclaredTime)
{
    cr_assert(estimates::estimate({}, makeSpec(60s)).m_expected == 60s);
}

Test(runTimes, declaredAlwaysTenTimesTooLow_estimate_followsTheRatio)
{
    estimates::RunTimes runTimes;
    for (const int seconds : {10, 100, 1000, 50}) {
        estimates::learn(runTimes, makeSpec(seconds * 1s), seconds * 10s);
    }
    const estimates::Estimate estimate = estimates::estimate(runTimes, makeSpec(30s));
    cr_assert(estimate.m_expected > 295s && estimate.m_expected < 305s);
}

Test(runTimes, declaredAtRandom_estimate_followsTheHistory)
{
    estimates::RunTimes runTimes;
    for (const int seconds : {1, 9000, 30, 700}) {
        estimates::learn(runTimes, makeSpec(seconds * 1s), 60s);
    }
    const estimates::Estimate estimate = estimates::estimate(runTimes, makeSpec(20000s));
    cr_assert(estimate.m_expected > 59s && estimate.m_expected < 61s);
}

Test(runTimes, anyHistory_upper_isNotBelowExpected)
{
    const bool holds = rc::check([] {
        estimates::RunTimes runTimes;
        for (const int seconds : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1'000'000))) {
            estimates::learn(runTimes, makeSpec(*rc::gen::inRange(0, 100000) * 1s), seconds * 1s);
        }
        const estimates::Estimate estimate = estimates::estimate(runTimes, makeSpec(*rc::gen::inRange(0, 100000) * 1s));
        RC_ASSERT(estimate.m_upper >= estimate.m_expected);
        RC_ASSERT(estimate.m_expected >= 0s);
    });
    cr_assert(holds);
}
