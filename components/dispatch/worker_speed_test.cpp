#include "components/dispatch/worker_speed.hpp"

#include "components/jobs/step_spec.hpp"
#include "components/run_times/worker_speed.hpp"

#include <chrono>

#include <criterion/criterion.h>

using namespace std::chrono_literals;

namespace
{

constexpr fleet::TimePoint now {1'000s};

jobs::StepSpec stepOf(fleet::Duration estimate)
{
    jobs::StepSpec step;
    step.m_estimate = estimate;
    return step;
}

}

/// Chance differences between runs on equal workers must not split them into classes, which would scatter free capacity.
Test(workerSpeed, smallDifference_isOneClass)
{
    cr_assert_eq(dispatch::speedClass({1.1, 1}), 0);
    cr_assert_eq(dispatch::speedClass({0.9, 1}), 0);
}

Test(workerSpeed, slowAndFastWorkers_areApartFromUsualOnes)
{
    cr_assert_gt(dispatch::speedClass({1.5, 1}), dispatch::unknownSpeedClass);
    cr_assert_lt(dispatch::speedClass({0.6, 1}), 0);
}

Test(workerSpeed, littleKnown_isUnknownWhateverTheFactor)
{
    cr_assert_eq(dispatch::speedClass({1.6, 0.1}), dispatch::unknownSpeedClass);
}

Test(workerSpeed, stepWithLittleSlack_prefersFastWorkers)
{
    cr_assert(dispatch::speedPreference(stepOf(2s), now + 3250ms, now) == dispatch::SpeedPreference::Fastest);
}

Test(workerSpeed, stepWithMuchSlack_prefersSlowWorkersUntilItHasWaited)
{
    cr_assert(dispatch::speedPreference(stepOf(2s), now + 7s, now) == dispatch::SpeedPreference::Slowest);
    cr_assert(dispatch::speedPreference(stepOf(2s), now + 7s, now + 4s) == dispatch::SpeedPreference::Fastest);
}

Test(workerSpeed, stepWithoutEstimate_hasNoPreference)
{
    cr_assert(dispatch::speedPreference(stepOf(0s), now + 7s, now) == dispatch::SpeedPreference::None);
}
