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
    if (step == nullptr) {
        return nullptr;
    }
    const auto found = step->m_tasks.find(task.m_index);
    return found == step->m_tasks.end() ? nullptr : &found->second;
}

std::uint32_t nextRunNumber(const StepRecord &step)
{
    return step.m_lastRun + 1;
}

std::uint32_t joinableRun(const StepRecord &gang)
{
    std::uint32_t run = 0;
    for (const auto &[index, task] : gang.m_tasks) {
        run = std::max(run, task.m_open.empty() ? 0 : task.m_open.front().m_run);
    }
    const bool isWhole = std::all_of(gang.m_tasks.begin(), gang.m_tasks.end(), [&](const auto &entry) {
        const TaskRecord &task = entry.second;
        const bool isIn = !task.m_open.empty() && task.m_open.front().m_run == run;
        return isIn || (task.isIdle() && task.m_lastRun < run);
    });
    return isWhole && gang.m_doneTasks == 0 ? run : 0;
}

bool isStepDone(const JobRecord &job, std::uint32_t occurrence, std::uint16_t step)
{
    if (job.m_doneOccurrences.contains(occurrence)) {
        return true;
    }
    const StepRecord *record = findStep(job, {job.m_spec.m_id, occurrence, step});
    return record != nullptr && record->isDone();
}

std::string checkpointOf(const JobRecord &job, const jobs::TaskId &task)
{
    const StepRecord *step = findStep(job, task.m_step);
    if (step == nullptr) {
        return {};
    }
    const auto found = step->m_tasks.find(task.m_index);
    const bool hasOwn = found != step->m_tasks.end() && !found->second.m_checkpoint.empty();
    return hasOwn ? found->second.m_checkpoint : step->m_checkpoint;
}

}
