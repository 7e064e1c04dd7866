#include "components/dispatch/worker_speed.hpp"

#include "components/jobs/step_spec.hpp"
#include "components/run_times/worker_speed.hpp"

#include <cmath>

namespace dispatch
{

namespace
{

/// Workers whose run times differ by less than this factor, as a natural logarithm, are in one class. Run times on one worker vary by
/// about 16%, so that a finer class would mostly show chance.
constexpr double classWidth = 0.25;
constexpr double minConfidence = 0.3;
/// Slow workers take up to about this multiple of the usual time. A step with more slack meets its objective there too.
constexpr double slowWorkerFactor = 2;

}

int speedClass(const run_times::WorkerSpeed &speed)
{
    if (speed.m_confidence < minConfidence || speed.m_factor <= 0) {
        return unknownSpeedClass;
    }
    return 2 * static_cast<int>(std::lround(std::log(speed.m_factor) / classWidth));
}

SpeedPreference speedPreference(const jobs::StepSpec &step, fleet::TimePoint objective, fleet::TimePoint now)
{
    if (step.m_isLongRunning || step.m_estimate.count() <= 0) {
        return SpeedPreference::None;
    }
    const auto slack = static_cast<double>((objective - now).count());
    return slack < static_cast<double>(step.m_estimate.count()) * slowWorkerFactor ? SpeedPreference::Fastest : SpeedPreference::Slowest;
}

int speedOrder(SpeedPreference preference, int speedClass)
{
    switch (preference) {
    case SpeedPreference::Fastest:
        return speedClass;
    case SpeedPreference::Slowest:
        return -speedClass;
    case SpeedPreference::None:
        break;
    }
    return 0;
}

}
