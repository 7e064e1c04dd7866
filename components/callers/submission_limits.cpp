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

/// Returns a description of the first resource of which more is asked for than the maximum; empty if there is none.
std::string describeOver(const fleet::Resources &asked, const fleet::Resources &maximum)
{
    const auto describe = [](const char *name, std::int64_t amount, std::int64_t most) {
        return most > 0 && amount > most ? std::to_string(amount) + ' ' + name + ", of which the account may have " + std::to_string(most) + " in use"
                                         : std::string();
    };
    for (const std::string &excess : {describe("thousandths of a core", asked.m_milliCores, maximum.m_milliCores),
                                      describe("MB of memory", asked.m_memoryMb, maximum.m_memoryMb),
                                      describe("accelerators", asked.m_accelerators, maximum.m_accelerators)}) {
        if (!excess.empty()) {
            return excess;
        }
    }
    return {};
}

}

std::string findOverMaximum(const Submission &submission, const fleet::Resources &maximum)
{
    for (std::size_t i = 0; i < submission.m_steps.size(); ++i) {
        const jobs::StepSpec &step = submission.m_steps[i];
        const fleet::Resources together = step.m_isGang ? step.m_perTask * step.m_tasks : step.m_perTask;
        const std::string excess = step.m_tasks == 0 ? std::string() : describeOver(together, maximum);
        if (!excess.empty()) {
            return std::string(step.m_isGang ? "the gang of step " : "a task of step ") + std::to_string(i) + " asks for " + excess + "; ask for less";
        }
    }
    return {};
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
