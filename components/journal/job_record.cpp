#include "components/journal/job_record.hpp"

#include <algorithm>

namespace journal
{

jobs::JobState stateOf(const JobRecord &job)
{
    if (job.isCompleted()) {
        return jobs::JobState::Completed;
    }
    if (job.m_hasFailed) {
        return jobs::JobState::Failed;
    }
    if (job.m_isCancelled) {
        return jobs::JobState::Cancelled;
    }
    return hasBegun(job) ? jobs::JobState::Running : jobs::JobState::Queued;
}

bool hasBegun(const JobRecord &job)
{
    return job.m_hasBegun || job.m_openRuns > 0;
}

const StepRecord *findStep(const JobRecord &job, const jobs::StepId &step)
{
    const auto occurrence = job.m_occurrences.find(step.m_occurrence);
    const bool isKnown = occurrence != job.m_occurrences.end() && step.m_step < occurrence->second.m_steps.size();
    return isKnown ? &occurrence->second.m_steps[step.m_step] : nullptr;
}

const TaskRecord *findTask(const JobRecord &job, const jobs::TaskId &task)
{
    const StepRecord *step = findStep(job, task.m_step);
    return step != nullptr && task.m_index < step->m_tasks.size() ? &step->m_tasks[task.m_index] : nullptr;
}

std::uint32_t nextRunNumber(const StepRecord &step)
{
    std::uint32_t highest = 0;
    for (const TaskRecord &task : step.m_tasks) {
        highest = std::max(highest, task.m_lastRun);
        for (const OpenRun &run : task.m_neverBegan) {
            highest = std::max(highest, run.m_run);
        }
    }
    return highest + 1;
}

std::uint32_t joinableRun(const StepRecord &gang)
{
    std::uint32_t run = 0;
    for (const TaskRecord &task : gang.m_tasks) {
        run = std::max(run, task.m_open.empty() ? 0 : task.m_open.front().m_run);
    }
    const bool isWhole = std::all_of(gang.m_tasks.begin(), gang.m_tasks.end(), [&](const TaskRecord &task) {
        const bool isIn = !task.m_open.empty() && task.m_open.front().m_run == run;
        return isIn || (task.m_open.empty() && task.m_lastRun < run && !task.m_isDone);
    });
    return isWhole ? run : 0;
}

bool isStepDone(const JobRecord &job, std::uint32_t occurrence, std::uint16_t step)
{
    if (job.m_doneOccurrences.contains(occurrence)) {
        return true;
    }
    const StepRecord *record = findStep(job, {job.m_spec.m_id, occurrence, step});
    return record != nullptr && record->isDone();
}

}
