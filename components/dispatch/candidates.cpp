#include "components/dispatch/candidates.hpp"

#include "components/dispatch/advice.hpp"
#include "components/dispatch/context.hpp"
#include "components/dispatch/guarantees.hpp"
#include "components/dispatch/launch_limits.hpp"
#include "components/dispatch/objectives.hpp"
#include "components/dispatch/rack_preference.hpp"
#include "components/dispatch/runs.hpp"
#include "components/dispatch/stray_runs.hpp"
#include "components/dispatch/worker_speed.hpp"

#include <algorithm>
#include <set>
#include <tuple>

namespace dispatch
{

namespace
{

/// Occurrences that one plan lists of a step, over all jobs, beyond one for each job. Bounds the time and the memory of a plan that many timed
/// jobs wait for.
constexpr std::size_t maxListedOccurrences = 4096;
/// How long a step avoids a worker where it failed.
constexpr fleet::Duration failedWorkerAvoidance {8000};

/// A job whose steps are listed, with what all of them have in common.
struct ListedJob
{
    const journal::JobRecord &m_record;
    const catalog::Queue &m_queue;
    fleet::Duration m_criticalPath {0};
    LaunchAllowance m_allowance;
    std::size_t m_maxOccurrences = 1;
    const std::set<jobs::TaskId> &m_strayTasks;
};

/// Returns up to `limit` tasks of the step that are neither done nor have a run. For a gang these are all tasks, or those that can join the
/// run of the others; none as long as a member has a stray run.
std::vector<std::uint16_t> startableTasks(
    const jobs::StepId &id, const jobs::StepSpec &spec, const journal::StepRecord *record, std::size_t limit, const std::set<jobs::TaskId> &strayTasks)
{
    std::vector<std::uint16_t> tasks;
    const std::size_t wanted = spec.m_isGang ? spec.m_tasks : limit;
    bool isAnyStray = false;
    const auto add = [&](std::uint16_t index) {
        const bool isStray = !strayTasks.empty() && strayTasks.contains({id, index});
        isAnyStray = isAnyStray || isStray;
        if (!isStray) {
            tasks.push_back(index);
        }
    };
    if (record != nullptr) {
        std::uint16_t idle = record->m_idleTasks;
        for (auto task = record->m_tasks.begin(); idle > 0 && tasks.size() < wanted; ++task) {
            if (task->second.isIdle()) {
                --idle;
                add(task->first);
            }
        }
    }
    for (std::uint16_t index = record == nullptr ? 0 : record->m_firstNewTask; index < spec.m_tasks && tasks.size() < wanted; ++index) {
        add(index);
    }
    if (spec.m_isGang && isAnyStray) {
        return {};
    }
    const bool isPart = spec.m_isGang && tasks.size() < spec.m_tasks;
    return isPart && journal::joinableRun(*record) == 0 ? std::vector<std::uint16_t>() : tasks;
}

bool areDependenciesDone(const journal::OccurrenceRecord &occurrence, const jobs::StepSpec &step)
{
    return std::all_of(step.m_dependsOn.begin(), step.m_dependsOn.end(), [&](std::uint16_t earlier) {
        return occurrence.m_steps[earlier].isDone();
    });
}

/// Sets the run of the gang that the missing members join, its rack, and the workers that refused it. A run that is in several racks
/// gains nothing from one rack for the rest.
void joinGang(const Context &context, const journal::StepRecord &record, Candidate &candidate)
{
    candidate.m_joinedRun = journal::joinableRun(record);
    std::set<fleet::RackId> racks;
    for (const auto &[index, task] : record.m_tasks) {
        if (!task.m_open.empty()) {
            const auto worker = context.m_state.m_workers.find(task.m_open.front().m_target.m_worker);
            if (worker != context.m_state.m_workers.end()) {
                racks.insert(worker->second.m_registration.m_rack);
            }
        }
        for (const journal::OpenRun &refused : task.m_neverBegan) {
            if (refused.m_run == candidate.m_joinedRun) {
                candidate.m_refusedBy.insert(refused.m_target);
            }
        }
    }
    if (racks.size() > 1) {
        giveUpOneRack(candidate);
    } else if (candidate.m_requiresOneRack && !racks.empty()) {
        candidate.m_joinedRack = *racks.begin();
    }
}

void addFailures(const Context &context, Candidate &candidate)
{
    const auto failures = context.m_state.m_failures.find(candidate.m_step);
    if (failures == context.m_state.m_failures.end()) {
        return;
    }
    candidate.m_hasFailed = true;
    for (const auto &[worker, at] : failures->second) {
        if (context.m_now.m_boot - at < failedWorkerAvoidance) {
            candidate.m_failedOn.insert(worker);
        }
    }
}

bool isRestartDue(const Context &context, const jobs::StepId &step)
{
    const auto notBefore = context.m_state.m_restartNotBefore.find(step);
    return notBefore == context.m_state.m_restartNotBefore.end() || context.m_now.m_boot >= notBefore->second;
}

/// Appends the step to the candidates, with up to `limit` of its tasks. Returns the number of listed tasks.
std::size_t addStep(const Context &context,
                    const ListedJob &job,
                    const jobs::StepId &id,
                    const journal::StepRecord *record,
                    std::size_t limit,
                    std::vector<Candidate> &candidates)
{
    const jobs::StepSpec &spec = job.m_record.m_spec.m_steps[id.m_step];
    std::vector<std::uint16_t> tasks = startableTasks(id, spec, record, limit, job.m_strayTasks);
    if (tasks.empty()) {
        return 0;
    }
    Candidate candidate;
    candidate.m_step = id;
    candidate.m_spec = &spec;
    candidate.m_queue = &job.m_queue;
    candidate.m_account = job.m_record.m_spec.m_account;
    candidate.m_requiresOneRack = spec.m_isGang && spec.m_prefersOneRack;
    candidate.m_perTask = allocationFor(spec);
    candidate.m_objective = objectiveOf(job.m_record, job.m_queue, id.m_occurrence, job.m_criticalPath);
    candidate.m_tasks = std::move(tasks);
    if (!spec.m_isGang) {
        const std::size_t startable = record == nullptr ? spec.m_tasks : record->startableTasks();
        candidate.m_unlistedTasks = startable - candidate.m_tasks.size();
    }
    if (context.m_state.m_settings.m_usesLearnedRunTimes) {
        candidate.m_speedPreference = speedPreference(spec, candidate.m_objective, context.m_now.m_wall);
    }
    addFailures(context, candidate);
    if (job.m_queue.m_advice) {
        candidate.m_tickets = usableTickets(context, id);
    }
    if (spec.m_isGang && candidate.m_tasks.size() < spec.m_tasks) {
        joinGang(context, *record, candidate);
    }
    candidates.push_back(std::move(candidate));
    return candidates.back().m_tasks.size();
}

/// What was listed of a step of a job in several occurrences.
struct ListedStep
{
    std::size_t m_occurrences = 0;
    std::size_t m_tasks = 0;
    /// Tasks of further occurrences, and the index of the last listed candidate, which counts them.
    std::size_t m_unlisted = 0;
    std::size_t m_last = 0;
};

/// Appends the ready steps of the occurrences that have begun. Of each step of the job, no more tasks are listed than may be launched.
void addBegunOccurrences(const Context &context, const ListedJob &job, std::vector<Candidate> &candidates)
{
    const std::vector<jobs::StepSpec> &steps = job.m_record.m_spec.m_steps;
    const auto stepCount = static_cast<std::uint16_t>(steps.size());
    const std::size_t limit = std::max<std::size_t>(1, job.m_allowance.m_tasks);
    std::vector<ListedStep> listed(steps.size());
    for (const auto &[number, occurrence] : job.m_record.m_occurrences) {
        for (std::uint16_t i = 0; i < stepCount; ++i) {
            const journal::StepRecord &record = occurrence.m_steps[i];
            const jobs::StepId id {job.m_record.m_spec.m_id, number, i};
            const bool isReady = record.startableTasks() > 0 && areDependenciesDone(occurrence, steps[i]) && isRestartDue(context, id);
            if (!isReady) {
                continue;
            }
            if (listed[i].m_tasks >= limit || listed[i].m_occurrences >= job.m_maxOccurrences) {
                listed[i].m_unlisted += record.startableTasks();
                continue;
            }
            const std::size_t added = addStep(context, job, id, &record, limit - listed[i].m_tasks, candidates);
            if (added > 0) {
                listed[i].m_tasks += added;
                ++listed[i].m_occurrences;
                listed[i].m_last = candidates.size() - 1;
            }
        }
    }
    for (const ListedStep &step : listed) {
        if (step.m_unlisted > 0) {
            candidates[step.m_last].m_unlistedTasks += step.m_unlisted;
        }
    }
}

/// Appends the first steps of due occurrences that have not begun, in their order, until as many tasks are listed as may be launched.
void addNewOccurrences(const Context &context, const ListedJob &job, std::uint32_t due, std::vector<Candidate> &candidates)
{
    const journal::JobRecord &record = job.m_record;
    const std::vector<jobs::StepSpec> &steps = record.m_spec.m_steps;
    const auto stepCount = static_cast<std::uint16_t>(steps.size());
    const std::size_t limit = std::max<std::size_t>(record.m_spec.m_schedule.isTimed() ? 0 : 1, job.m_allowance.m_tasksOfNewOccurrences);
    const auto begun = static_cast<std::size_t>(std::count_if(record.m_occurrences.begin(), record.m_occurrences.end(), [&](const auto &entry) {
        return !record.m_doneOccurrences.contains(entry.first);
    }));
    std::size_t left = due - std::min<std::size_t>(due, record.m_doneOccurrences.size() + begun);
    std::vector<std::size_t> added;
    std::size_t listed = 0;
    auto next = record.m_occurrences.begin();
    std::uint32_t number = record.m_doneOccurrences.firstMissing(0);
    for (std::size_t visited = 0; left > 0 && listed < limit && visited < std::min(limit, job.m_maxOccurrences);
         number = record.m_doneOccurrences.firstMissing(number + 1)) {
        next = std::find_if(next, record.m_occurrences.end(), [&](const auto &entry) {
            return entry.first >= number;
        });
        if (next != record.m_occurrences.end() && next->first == number) {
            continue;
        }
        ++visited;
        --left;
        added.clear();
        for (std::uint16_t i = 0; i < stepCount; ++i) {
            const jobs::StepId id {record.m_spec.m_id, number, i};
            const bool isReady = steps[i].m_dependsOn.empty() && isRestartDue(context, id);
            if (isReady && addStep(context, job, id, nullptr, limit - std::min(limit - 1, listed), candidates) > 0) {
                listed += candidates.back().m_tasks.size();
                added.push_back(candidates.size() - 1);
            }
        }
    }
    for (const std::size_t last : added) {
        candidates[last].m_unlistedTasks += left * candidates[last].m_spec->m_tasks;
    }
}

std::uint32_t dueOccurrences(const journal::JobRecord &job, fleet::TimePoint now)
{
    const jobs::Schedule &schedule = job.m_spec.m_schedule;
    if (!schedule.isTimed()) {
        return 1;
    }
    if (now < schedule.m_firstDue) {
        return 0;
    }
    if (schedule.m_interval.count() <= 0) {
        return schedule.m_occurrences;
    }
    const auto passed = (now - schedule.m_firstDue) / schedule.m_interval + 1;
    return static_cast<std::uint32_t>(std::min<std::int64_t>(passed, schedule.m_occurrences));
}

bool hasHigherPriority(const Candidate &a, const Candidate &b)
{
    const int rankA = rankOf(a);
    const int rankB = rankOf(b);
    return std::tie(rankA, a.m_objective, a.m_step) < std::tie(rankB, b.m_objective, b.m_step);
}

}

std::vector<Candidate> findCandidates(const Context &context)
{
    std::vector<Candidate> candidates;
    const std::set<jobs::TaskId> strayTasks = tasksWithStrayRuns(context);
    const std::size_t occurrenceRecords = countOccurrenceRecords(context);
    const std::size_t maxOccurrences = 1 + maxListedOccurrences / std::max<std::size_t>(1, context.m_state.m_activeJobs.size());
    for (const auto &[id, seenAt] : context.m_state.m_activeJobs) {
        const journal::JobRecord &record = context.m_journalState.m_jobs.at(id);
        const catalog::Queue *queue = catalog::findQueue(context.m_catalog, record.m_spec.m_queue);
        if (queue == nullptr || record.isOver()) {
            continue;
        }
        const ListedJob job {record,
                             *queue,
                             criticalPathLength(record.m_spec),
                             launchAllowance(context, record, queue->m_priority, occurrenceRecords),
                             maxOccurrences,
                             strayTasks};
        addBegunOccurrences(context, job, candidates);
        addNewOccurrences(context, job, dueOccurrences(record, context.m_now.m_wall), candidates);
    }
    markGuaranteed(context, measureUse(context), candidates);
    std::sort(candidates.begin(), candidates.end(), hasHigherPriority);
    return candidates;
}

}
