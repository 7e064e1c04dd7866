#include "components/dispatch/candidates.hpp"

#include "components/dispatch/advice.hpp"
#include "components/dispatch/context.hpp"
#include "components/dispatch/guarantees.hpp"
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

/// How long a step avoids a worker where it failed.
constexpr fleet::Duration failedWorkerAvoidance {8000};

/// Returns the tasks of the step that are neither done nor have a run. For a gang these are all tasks, or those that can join the run of
/// the others; none as long as a member has a stray run.
std::vector<std::uint16_t>
startableTasks(const jobs::StepId &id, const jobs::StepSpec &spec, const journal::StepRecord *record, const std::set<jobs::TaskId> &strayTasks)
{
    std::vector<std::uint16_t> tasks;
    for (std::uint16_t i = 0; i < spec.m_tasks; ++i) {
        const auto known = record == nullptr ? decltype(record->m_tasks.end()) {} : record->m_tasks.find(i);
        const bool isKnown = record != nullptr && known != record->m_tasks.end();
        const bool isFree = record == nullptr || (isKnown ? known->second.isIdle() : i >= record->m_firstNewTask);
        const bool isStray = strayTasks.contains({id, i});
        if (isStray && spec.m_isGang) {
            return {};
        }
        if (isFree && !isStray) {
            tasks.push_back(i);
        }
    }
    const bool isPart = spec.m_isGang && tasks.size() < spec.m_tasks;
    return isPart && journal::joinableRun(*record) == 0 ? std::vector<std::uint16_t>() : tasks;
}

bool areDependenciesDone(const journal::JobRecord &job, std::uint32_t occurrence, const jobs::StepSpec &step)
{
    return std::all_of(step.m_dependsOn.begin(), step.m_dependsOn.end(), [&](std::uint16_t earlier) {
        return journal::isStepDone(job, occurrence, earlier);
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

void addOccurrence(const Context &context,
                   const journal::JobRecord &job,
                   const catalog::Queue &queue,
                   std::uint32_t occurrence,
                   const std::set<jobs::TaskId> &strayTasks,
                   std::vector<Candidate> &candidates)
{
    const auto steps = static_cast<std::uint16_t>(job.m_spec.m_steps.size());
    for (std::uint16_t i = 0; i < steps; ++i) {
        const jobs::StepSpec &spec = job.m_spec.m_steps[i];
        const jobs::StepId id {job.m_spec.m_id, occurrence, i};
        if (journal::isStepDone(job, occurrence, i) || !areDependenciesDone(job, occurrence, spec) || !isRestartDue(context, id)) {
            continue;
        }
        std::vector<std::uint16_t> tasks = startableTasks(id, spec, journal::findStep(job, id), strayTasks);
        if (tasks.empty()) {
            continue;
        }
        Candidate candidate;
        candidate.m_step = id;
        candidate.m_spec = &spec;
        candidate.m_queue = &queue;
        candidate.m_account = job.m_spec.m_account;
        candidate.m_requiresOneRack = spec.m_isGang && spec.m_prefersOneRack;
        candidate.m_perTask = allocationFor(spec);
        candidate.m_objective = objectiveOf(job, queue, occurrence);
        candidate.m_tasks = std::move(tasks);
        if (context.m_state.m_settings.m_usesLearnedRunTimes) {
            candidate.m_speedPreference = speedPreference(spec, candidate.m_objective, context.m_now.m_wall);
        }
        addFailures(context, candidate);
        if (queue.m_advice) {
            candidate.m_tickets = usableTickets(context, id);
        }
        if (spec.m_isGang && candidate.m_tasks.size() < spec.m_tasks) {
            joinGang(context, *journal::findStep(job, id), candidate);
        }
        candidates.push_back(std::move(candidate));
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
    for (const auto &[id, seenAt] : context.m_state.m_activeJobs) {
        const journal::JobRecord &job = context.m_journalState.m_jobs.at(id);
        const catalog::Queue *queue = catalog::findQueue(context.m_catalog, job.m_spec.m_queue);
        if (queue == nullptr || job.isOver()) {
            continue;
        }
        const std::uint32_t due = dueOccurrences(job, context.m_now.m_wall);
        for (std::uint32_t occurrence = 0; occurrence < due; ++occurrence) {
            if (!job.m_doneOccurrences.contains(occurrence)) {
                addOccurrence(context, job, *queue, occurrence, strayTasks, candidates);
            }
        }
    }
    markGuaranteed(context, measureUse(context), candidates);
    std::sort(candidates.begin(), candidates.end(), hasHigherPriority);
    return candidates;
}

}
