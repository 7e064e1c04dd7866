#include "components/journal/journal_state.hpp"

#include "components/journal/changes.hpp"

#include <algorithm>

namespace journal
{

namespace
{

OccurrenceRecord &findOrAddOccurrence(JobRecord &job, std::uint32_t number)
{
    const auto [found, isNew] = job.m_occurrences.try_emplace(number);
    if (isNew) {
        for (const jobs::StepSpec &step : job.m_spec.m_steps) {
            found->second.m_steps.emplace_back().m_taskCount = step.m_tasks;
        }
    }
    return found->second;
}

/// True if the task is part of the job as submitted.
bool isTaskOf(const JobRecord &job, const jobs::TaskId &task)
{
    const bool isStep = task.m_step.m_occurrence < job.occurrenceCount() && task.m_step.m_step < job.m_spec.m_steps.size();
    return isStep && task.m_index < job.m_spec.m_steps[task.m_step.m_step].m_tasks;
}

/// Returns the record of a task that is not done; adds it, and those of the tasks before it, if it has none.
TaskRecord &findOrAddTask(StepRecord &step, std::uint16_t index)
{
    for (; step.m_firstNewTask <= index; ++step.m_firstNewTask) {
        step.m_tasks.try_emplace(step.m_firstNewTask);
        ++step.m_idleTasks;
    }
    return step.m_tasks.at(index);
}

void applyBody(JournalState &state, const JobAccepted &record, Changes &changes)
{
    const auto [found, isNew] = state.m_jobs.try_emplace(record.m_spec.m_id);
    if (!isNew) {
        return;
    }
    found->second.m_spec = record.m_spec;
    found->second.m_maxAttempts = record.m_maxAttempts;
    found->second.m_acceptedAt = record.m_at;
    changes.m_accepted.push_back(record.m_spec.m_id);
    changes.m_changed.push_back(record.m_spec.m_id);
}

void applyBody(JournalState &state, const JobCancelled &record, Changes &changes)
{
    const auto found = state.m_jobs.find(record.m_job);
    if (found == state.m_jobs.end() || found->second.isOver()) {
        return;
    }
    found->second.m_isCancelled = true;
    found->second.m_endedAt = record.m_at;
    state.m_newlyEnded.push_back(record.m_job);
    changes.m_cancelled.push_back(record.m_job);
    changes.m_changed.push_back(record.m_job);
}

void applyLaunch(JournalState &state, const Launch &launch, Changes &changes)
{
    const jobs::TaskId &task = launch.m_run.m_task;
    const auto found = state.m_jobs.find(task.m_step.m_job);
    if (found == state.m_jobs.end() || !isTaskOf(found->second, task) || found->second.m_doneOccurrences.contains(task.m_step.m_occurrence)) {
        return;
    }
    JobRecord &job = found->second;
    StepRecord &step = findOrAddOccurrence(job, task.m_step.m_occurrence).m_steps[task.m_step.m_step];
    const OpenRun open {launch.m_run.m_run, launch.m_target};
    const TaskRecord *known = findTask(job, task);
    // No task is launched once it is done, so this is a record that is read again.
    const bool isDone = known == nullptr && step.isDone(task.m_index);
    const bool isKnown = known != nullptr
        && (launch.m_run.m_run <= known->m_lastRun || std::find(known->m_neverBegan.begin(), known->m_neverBegan.end(), open) != known->m_neverBegan.end());
    if (isDone || isKnown || launch.m_run.m_run == 0) {
        return;
    }
    TaskRecord &record = findOrAddTask(step, task.m_index);
    std::erase_if(record.m_neverBegan, [&](const OpenRun &run) {
        return run.m_run < launch.m_run.m_run;
    });
    step.m_idleTasks -= record.isIdle() ? 1 : 0;
    record.m_lastRun = launch.m_run.m_run;
    record.m_open.push_back(open);
    step.m_lastRun = std::max(step.m_lastRun, launch.m_run.m_run);
    ++job.m_openRuns;
    changes.m_changed.push_back(task.m_step.m_job);
}

void applyBody(JournalState &state, const RunsLaunched &record, Changes &changes)
{
    for (const Launch &launch : record.m_launches) {
        applyLaunch(state, launch, changes);
    }
}

void countFailure(JobRecord &job, StepRecord &step, TaskRecord &task, const EndedRun &ended)
{
    const jobs::StepSpec &spec = job.m_spec.m_steps[ended.m_run.m_task.m_step.m_step];
    ++task.m_failures;
    if (spec.m_isGang && ended.m_run.m_run > step.m_lastFailedRun) {
        step.m_lastFailedRun = ended.m_run.m_run;
        ++step.m_gangFailures;
    }
    const std::uint32_t failures = spec.m_isGang ? step.m_gangFailures : task.m_failures;
    if (failures >= job.m_maxAttempts && !spec.m_isLongRunning && !task.m_isDone && !job.isOver()) {
        job.m_hasFailed = true;
    }
}

void markDone(JobRecord &job, const jobs::TaskId &id)
{
    const auto occurrence = job.m_occurrences.find(id.m_step.m_occurrence);
    StepRecord &step = occurrence->second.m_steps[id.m_step.m_step];
    const bool isGang = job.m_spec.m_steps[id.m_step.m_step].m_isGang;
    const std::uint32_t doneBefore = step.m_doneTasks;
    if (isGang) {
        // The members of a gang end together, so that one finished member means that all are finished.
        for (auto &[index, task] : step.m_tasks) {
            task.m_isDone = true;
        }
        std::erase_if(step.m_tasks, [&](const auto &entry) {
            return entry.second.m_open.empty() && entry.first != id.m_index;
        });
        step.m_firstNewTask = step.m_taskCount;
        step.m_idleTasks = 0;
        step.m_doneTasks = step.m_taskCount;
    } else if (!step.m_tasks.at(id.m_index).m_isDone) {
        step.m_tasks.at(id.m_index).m_isDone = true;
        ++step.m_doneTasks;
    }
    occurrence->second.m_doneSteps += step.m_doneTasks > doneBefore && step.isDone() ? 1 : 0;
}

void completeOccurrence(JobRecord &job, std::uint32_t number)
{
    const auto occurrence = job.m_occurrences.find(number);
    if (occurrence == job.m_occurrences.end() || occurrence->second.m_doneSteps < occurrence->second.m_steps.size()) {
        return;
    }
    job.m_doneOccurrences.insert(number);
    const bool hasOpenRun = std::any_of(occurrence->second.m_steps.begin(), occurrence->second.m_steps.end(), [](const StepRecord &step) {
        return !step.m_tasks.empty();
    });
    if (!hasOpenRun) {
        job.m_occurrences.erase(occurrence);
    }
}

/// Stores the checkpoint of an ended run. A gang has one checkpoint, which any member may provide. For the same run number, a
/// checkpoint that a worker wrote at the end of its run replaces one that was only last seen of a lost run.
void updateCheckpoint(const JobRecord &job, StepRecord &step, TaskRecord &task, const EndedRun &ended)
{
    if (ended.m_checkpoint.empty()) {
        return;
    }
    if (!job.m_spec.m_steps[ended.m_run.m_task.m_step.m_step].m_isGang) {
        task.m_checkpoint = ended.m_checkpoint;
        return;
    }
    const bool isFresh = ended.m_end == jobs::RunEnd::Stopped || ended.m_end == jobs::RunEnd::GangBroken;
    if (ended.m_run.m_run > step.m_checkpointRun || (isFresh && ended.m_run.m_run == step.m_checkpointRun)) {
        step.m_checkpointRun = ended.m_run.m_run;
        step.m_checkpoint = ended.m_checkpoint;
    }
}

void applyEnd(JournalState &state, const EndedRun &ended, fleet::TimePoint at, Changes &changes)
{
    const jobs::TaskId &id = ended.m_run.m_task;
    const auto found = state.m_jobs.find(id.m_step.m_job);
    if (found == state.m_jobs.end() || !isTaskOf(found->second, id)) {
        return;
    }
    JobRecord &job = found->second;
    const auto occurrence = job.m_occurrences.find(id.m_step.m_occurrence);
    if (occurrence == job.m_occurrences.end()) {
        return;
    }
    StepRecord &step = occurrence->second.m_steps[id.m_step.m_step];
    const auto known = step.m_tasks.find(id.m_index);
    if (known == step.m_tasks.end()) {
        return;
    }
    TaskRecord &task = known->second;
    // Compares the worker, as a gang member may have an open run with the same number on another worker, but not the incarnation, as
    // the worker may have restarted since the launch.
    const auto open = std::find_if(task.m_open.begin(), task.m_open.end(), [&](const OpenRun &run) {
        return run.m_run == ended.m_run.m_run && run.m_target.m_worker == ended.m_target.m_worker;
    });
    if (open == task.m_open.end()) {
        return;
    }
    const bool wasOver = job.isOver();
    const OpenRun launched = *open;
    task.m_open.erase(open);
    --job.m_openRuns;
    job.m_hasBegun = job.m_hasBegun || ended.m_end != jobs::RunEnd::NeverBegan;
    updateCheckpoint(job, step, task, ended);
    const bool isGang = job.m_spec.m_steps[id.m_step.m_step].m_isGang;
    if (isGang && ended.m_end == jobs::RunEnd::NeverBegan && task.m_lastRun == ended.m_run.m_run) {
        // The member may still join this run of the gang on another worker, with the same run number.
        --task.m_lastRun;
        task.m_neverBegan.push_back(launched);
    }
    if (ended.m_end == jobs::RunEnd::Done && !job.m_spec.m_steps[id.m_step.m_step].m_isLongRunning) {
        markDone(job, id);
    } else if (ended.m_end == jobs::RunEnd::Failed) {
        countFailure(job, step, task, ended);
    }
    step.m_idleTasks += task.isIdle() ? 1 : 0;
    if (task.m_isDone && task.m_open.empty()) {
        step.m_tasks.erase(known);
    }
    completeOccurrence(job, id.m_step.m_occurrence);
    if (!wasOver && job.isOver()) {
        job.m_endedAt = at;
        state.m_newlyEnded.push_back(job.m_spec.m_id);
    }
    changes.m_changed.push_back(id.m_step.m_job);
}

void applyBody(JournalState &state, const RunsEnded &record, Changes &changes)
{
    for (const EndedRun &ended : record.m_runs) {
        applyEnd(state, ended, record.m_at, changes);
    }
}

void applyBody(JournalState &state, const InstanceStarted &record, Changes &changes)
{
    state.m_instances[record.m_instance] = {record.m_incarnation, record.m_zone, record.m_peerAddress, record.m_peerKey, record.m_milliCores};
    // A new incarnation proves that the previous one has ended.
    std::erase_if(state.m_formerHolders, [&](const FormerHolder &former) {
        return former.m_instance == record.m_instance && former.m_incarnation != record.m_incarnation;
    });
    changes.m_instanceStarted = true;
}

void addFormerHolder(JournalState &state)
{
    const HolderRecord &holder = state.m_holder;
    const auto instance = state.m_instances.find(holder.m_instance);
    const bool hasEnded = holder.m_hasResigned || instance == state.m_instances.end() || instance->second.m_incarnation != holder.m_incarnation;
    if (holder.m_token.m_value > 0 && !hasEnded) {
        state.m_formerHolders.push_back({holder.m_instance, holder.m_incarnation});
    }
}

void applyBody(JournalState &state, const HolderClaimed &record, Changes &changes)
{
    if (record.m_token > state.m_holder.m_token) {
        addFormerHolder(state);
        state.m_holder = {record.m_token, record.m_instance, record.m_incarnation, false, {}};
        changes.m_holderChanged = true;
    }
}

void applyBody(JournalState &state, const HolderResigned &record, Changes &changes)
{
    if (record.m_token == state.m_holder.m_token && !state.m_holder.m_hasResigned) {
        state.m_holder.m_hasResigned = true;
        state.m_holder.m_avoidZone = record.m_avoidZone;
        changes.m_holderChanged = true;
    }
}

void applyBody(JournalState &, const HolderHeartbeat &, Changes &)
{
}

void applyBody(JournalState &state, const UpkeepOrdered &record, Changes &)
{
    state.m_upkeeps[record.m_wave].insert(record.m_machine);
}

void applyBody(JournalState &, const SnapshotWritten &, Changes &changes)
{
    changes.m_snapshotWritten = true;
}

}

void apply(JournalState &state, const Record &record, Changes &changes)
{
    std::visit(
        [&](const auto &body) {
            applyBody(state, body, changes);
        },
        record);
}

const JobRecord *findJob(const JournalState &state, jobs::JobId id)
{
    const auto found = state.m_jobs.find(id);
    return found == state.m_jobs.end() ? nullptr : &found->second;
}

void forgetEnded(JournalState &state, fleet::Duration retention, fleet::BootTime now)
{
    for (const jobs::JobId job : state.m_newlyEnded) {
        state.m_ended.emplace(now, job);
    }
    state.m_newlyEnded.clear();
    for (auto entry = state.m_ended.begin(); entry != state.m_ended.end() && now - entry->first >= retention;) {
        const auto job = state.m_jobs.find(entry->second);
        if (job == state.m_jobs.end() || job->second.m_openRuns == 0) {
            state.m_jobs.erase(entry->second);
            entry = state.m_ended.erase(entry);
        } else {
            ++entry;
        }
    }
}

}
