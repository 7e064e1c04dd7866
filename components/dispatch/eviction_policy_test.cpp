#include "components/dispatch/eviction_policy.hpp"

#include <criterion/criterion.h>

using namespace std::chrono_literals;

Test(evictionPolicy, urgentStep_mayStopAnyRunAtOnce)
{
    cr_assert(dispatch::acceptableLoss(0, 0ms) == fleet::Duration::max());
}

Test(evictionPolicy, otherStepThatHasJustArrived_mayStopNone)
{
    cr_assert_not(dispatch::acceptableLoss(1, 500ms).has_value());
}

Test(evictionPolicy, otherStepThatHasWaited_mayStopRunsThatLoseLittle)
{
    const auto loss = dispatch::acceptableLoss(1, 2s);
    cr_assert(loss.has_value());
    cr_assert_lt(loss->count(), 1000);
}
