#include "components/callers/submission_limits.hpp"

#include "components/callers/submission.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace callers
{

namespace
{

/// Tasks of all steps and occurrences of a job.
constexpr std::uint64_t maxTasks = 1'000'000;
/// Milli-cores, megabytes or accelerators of one task; more than any worker has. Sums over the tasks of a job stay far below the
/// largest number.
constexpr std::int64_t maxAmountPerTask = 1'000'000'000;
constexpr fleet::Duration maxLength = std::chrono::years(10);
constexpr fleet::TimePoint latestDue {std::chrono::years(1000)};

bool isExcessive(const fleet::Resources &amount)
{
    return std::max({amount.m_milliCores, amount.m_memoryMb, amount.m_accelerators}) > maxAmountPerTask;
}

}

std::string findExcess(const Submission &submission)
{
    std::uint64_t tasks = 0;
    for (const jobs::StepSpec &step : submission.m_steps) {
        tasks += step.m_tasks;
        if (isExcessive(step.m_perTask)) {
            return "a task asks for more than " + std::to_string(maxAmountPerTask) + " units of a resource; ask for less";
        }
        if (step.m_estimate > maxLength) {
            return "the estimate of a task is longer than 10 years; give a shorter one";
        }
        if (step.m_tailLatencyObjective > maxLength) {
            return "the latency objective of a step is longer than 10 years; give a shorter one";
        }
    }
    const jobs::Schedule &schedule = submission.m_schedule;
    if (schedule.m_interval > maxLength || schedule.m_firstDue > latestDue) {
        return "the schedule lies too far ahead; use an interval of at most 10 years and a first time before the year 2970";
    }
    if (tasks * std::max<std::uint64_t>(schedule.m_occurrences, 1) > maxTasks) {
        return "the job has more than " + std::to_string(maxTasks) + " tasks over all its occurrences; split it";
    }
    return {};
}

}
