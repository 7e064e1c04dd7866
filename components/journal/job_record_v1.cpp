#include "components/journal/job_record_v1.hpp"

#include "components/journal/job_record.hpp"

#include <algorithm>
#include <utility>

namespace journal
{

namespace
{

std::uint32_t lastRunOf(const TaskRecord &task)
{
    std::uint32_t last = task.m_lastRun;
    for (const OpenRun &run : task.m_neverBegan) {
        last = std::max(last, run.m_run);
    }
    return last;
}

StepRecord toStepRecord(JobRecordV1::Step stored, bool isGang)
{
    StepRecord step;
    step.m_taskCount = static_cast<std::uint16_t>(stored.m_tasks.size());
    step.m_doneTasks = stored.m_doneTasks;
    step.m_gangFailures = stored.m_gangFailures;
    step.m_lastFailedRun = stored.m_lastFailedRun;
    step.m_checkpointRun = stored.m_checkpointRun;
    for (std::uint16_t index = 0; index < step.m_taskCount; ++index) {
        TaskRecord &task = stored.m_tasks[index];
        step.m_lastRun = std::max(step.m_lastRun, lastRunOf(task));
        if (isGang) {
            step.m_checkpoint = std::exchange(task.m_checkpoint, {});
        }
        if (task == TaskRecord()) {
            continue;
        }
        for (; step.m_firstNewTask < index; ++step.m_firstNewTask) {
            step.m_tasks.try_emplace(step.m_firstNewTask);
            ++step.m_idleTasks;
        }
        step.m_firstNewTask = index + 1;
        if (!task.m_isDone || !task.m_open.empty()) {
            step.m_idleTasks += task.isIdle() ? 1 : 0;
            step.m_tasks.emplace(index, std::move(task));
        }
    }
    return step;
}

}

JobRecord toJobRecord(JobRecordV1 stored)
{
    JobRecord job;
    job.m_spec = std::move(stored.m_spec);
    job.m_maxAttempts = stored.m_maxAttempts;
    job.m_acceptedAt = stored.m_acceptedAt;
    job.m_isCancelled = stored.m_isCancelled;
    job.m_hasFailed = stored.m_hasFailed;
    job.m_hasBegun = stored.m_hasBegun;
    job.m_endedAt = stored.m_endedAt;
    job.m_openRuns = stored.m_openRuns;
    for (auto &[number, occurrence] : stored.m_occurrences) {
        OccurrenceRecord &converted = job.m_occurrences[number];
        converted.m_doneSteps = occurrence.m_doneSteps;
        for (std::size_t i = 0; i < occurrence.m_steps.size(); ++i) {
            const bool isGang = i < job.m_spec.m_steps.size() && job.m_spec.m_steps[i].m_isGang;
            converted.m_steps.push_back(toStepRecord(std::move(occurrence.m_steps[i]), isGang));
        }
    }
    for (const std::uint32_t number : stored.m_doneOccurrences) {
        job.m_doneOccurrences.insert(number);
    }
    return job;
}

}
