#include "components/scheduler/progress.hpp"

#include <algorithm>

namespace scheduler
{

estimates::Estimate remainingTime(const State &state, const Job &job)
{
    constexpr fleet::Duration minimum {1'000};
    const estimates::Estimate whole = estimates::estimate(state.m_runTimes, job.m_spec);
    return {std::max(minimum, whole.m_expected - job.m_checkpointed), std::max(minimum, whole.m_upper - job.m_checkpointed)};
}

fleet::TimePoint probableEnd(const Job &job, fleet::TimePoint now)
{
    const Attempt &attempt = *job.m_attempt;
    const fleet::TimePoint end = attempt.m_placedAt + attempt.m_runTime.m_upper;
    return end > now ? end : now + (now - attempt.m_placedAt);
}

fleet::Duration lostTime(const State &state, const Job &job, fleet::TimePoint now)
{
    const Attempt &attempt = *job.m_attempt;
    switch (attempt.m_phase) {
    case AttemptPhase::Ending:
    case AttemptPhase::Checkpointing:
        return fleet::Duration {0};
    case AttemptPhase::Claiming:
    case AttemptPhase::Reserving:
        return fleet::Duration {1};
    case AttemptPhase::Adopting:
    case AttemptPhase::Running:
        break;
    }
    const fleet::Duration ran = job.m_spec.m_checkpointable ? fleet::Duration {0} : now - attempt.m_startedAt;
    return ran + state.m_settings.m_restartCost;
}

}
