#include "components/dispatch/waiting.hpp"

#include "components/dispatch/available_workers.hpp"
#include "components/dispatch/candidate.hpp"
#include "components/dispatch/context.hpp"
#include "components/jobs/step_spec.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <utility>

namespace dispatch
{

namespace
{

/// A step is reported once it has waited this long, and again after the same time. Shorter waits are part of the usual queueing.
constexpr fleet::Duration reportInterval {2000};
/// Each report examines all workers, so that one is made in this time on average, and a few at once after a pause.
constexpr fleet::Duration timePerReport {20};
constexpr std::int64_t maxReportsInAPlan = 5;

const char *nameOf(WaitReason reason)
{
    switch (reason) {
    case WaitReason::LaunchLimit:
        return "launch-limit";
    case WaitReason::AccountMaximum:
        return "account-maximum";
    case WaitReason::NoWorker:
        return "no-worker";
    case WaitReason::NoRoom:
        return "no-room";
    case WaitReason::WorkersAvoided:
        return "workers-avoided";
    case WaitReason::BesideServing:
        return "beside-serving";
    case WaitReason::Reserved:
        return "reserved";
    case WaitReason::NoTicket:
        return "no-ticket";
    case WaitReason::OneRack:
        return "one-rack";
    case WaitReason::Unexplained:
        break;
    }
    return "unexplained";
}

/// Numbers of tasks that fit, in all and by rack.
struct Slots
{
    std::uint32_t m_total = 0;
    std::map<fleet::RackId, std::uint32_t> m_byRack;
};

void add(Slots &slots, const WorkerState &worker, std::uint32_t count)
{
    slots.m_total += count;
    slots.m_byRack[worker.m_registration.m_rack] += count;
}

std::uint32_t largestRack(const Slots &slots)
{
    std::uint32_t largest = 0;
    for (const auto &[rack, count] : slots.m_byRack) {
        largest = std::max(largest, count);
    }
    return largest;
}

std::uint32_t neededSlots(const Candidate &candidate)
{
    return candidate.m_spec->m_isGang ? static_cast<std::uint32_t>(candidate.m_tasks.size()) : 1;
}

void logWaiting(Context &context, const Candidate &candidate, const WaitingStep &waiting, const WaitReport &report)
{
    context.m_out.m_log.push_back(logging::Line("dispatch", "waiting")
                                      .add("job", toString(candidate.m_step.m_job))
                                      .add("occurrence", candidate.m_step.m_occurrence)
                                      .add("step", candidate.m_step.m_step)
                                      .add("reason", nameOf(report.m_reason))
                                      .add("waited_ms", context.m_now.m_boot - waiting.m_since)
                                      .add("tasks", candidate.m_tasks.size() + candidate.m_unlistedTasks)
                                      .add("gang", candidate.m_spec->m_isGang)
                                      .add("one_rack", candidate.m_requiresOneRack)
                                      .add("free_slots", report.m_freeSlots)
                                      .add("free_slots_in_a_rack", report.m_freeSlotsInARack)
                                      .add("joins_run", candidate.m_joinedRun)
                                      .add("holds_reservation", context.m_state.m_reservations.contains(candidate.m_step))
                                      .add("guaranteed", candidate.m_isGuaranteed)
                                      .add("priority", candidate.m_queue->m_priority));
}

}

WaitingStep &findWaitingStep(Context &context, const Candidate &candidate)
{
    const fleet::BootTime now = context.m_now.m_boot;
    WaitingStep &waiting = context.m_state.m_waitingSteps.try_emplace(candidate.m_step, WaitingStep {now, now, now + reportInterval}).first->second;
    waiting.m_seenAt = now;
    return waiting;
}

std::optional<fleet::Duration> stepWaitedFor(const Context &context, const jobs::StepId &step)
{
    const auto waiting = context.m_state.m_waitingSteps.find(step);
    return waiting == context.m_state.m_waitingSteps.end() ? std::nullopt : std::optional(context.m_now.m_boot - waiting->second.m_since);
}

void recordPlaced(Context &context, WaitingStep &waiting)
{
    const fleet::BootTime now = context.m_now.m_boot;
    waiting = {now, now, now + reportInterval};
}

WaitReport explainWait(const Context &context, const Candidate &candidate, const AvailableWorkers &availableWorkers)
{
    if (candidate.m_tasks.empty() && candidate.m_isLimited) {
        return {WaitReason::LaunchLimit, 0, 0, false};
    }
    if (!candidate.m_tasks.empty() && candidate.m_withheldTasks.size() == candidate.m_tasks.size()) {
        return {WaitReason::AccountMaximum, 0, 0, false};
    }
    const fleet::BootTime now = context.m_now.m_boot;
    jobs::StepSpec besideServing = *candidate.m_spec;
    besideServing.m_usesIdleProcessor = false;
    Candidate anywhere = candidate;
    anywhere.m_spec = &besideServing;
    bool isAnySuitable = false;
    Slots free;
    for (auto &[id, worker] : context.m_state.m_workers) {
        if (isInService(context, worker) && isSuitable(anywhere, worker, now)) {
            isAnySuitable = true;
            add(free, worker, countSlots(candidate, worker, worker.m_registration.m_capacity - worker.m_allocated));
        }
    }
    Slots usable;
    Slots apart;
    Slots unreserved;
    Slots permitted;
    for (const AvailableWorker &available : availableWorkers) {
        const WorkerState &worker = *available.m_state;
        const std::uint32_t slots = countSlots(candidate, available, available.m_free);
        add(usable, worker, isSuitable(anywhere, worker, now) ? slots : 0);
        if (isSuitable(candidate, worker, now)) {
            const std::uint32_t left = countSlots(candidate, available, freeResourcesFor(candidate, available));
            add(apart, worker, slots);
            add(unreserved, worker, left);
            add(permitted, worker, mayRun(candidate, worker, now) ? left : 0);
        }
    }
    const std::uint32_t needed = neededSlots(candidate);
    const auto reason = [&] {
        if (!isAnySuitable) {
            return WaitReason::NoWorker;
        }
        if (free.m_total < needed) {
            return WaitReason::NoRoom;
        }
        if (usable.m_total < needed) {
            return WaitReason::WorkersAvoided;
        }
        if (apart.m_total < needed) {
            return WaitReason::BesideServing;
        }
        if (unreserved.m_total < needed) {
            return WaitReason::Reserved;
        }
        if (permitted.m_total < needed) {
            return WaitReason::NoTicket;
        }
        return candidate.m_requiresOneRack && largestRack(permitted) < needed ? WaitReason::OneRack : WaitReason::Unexplained;
    };
    return {reason(), free.m_total, largestRack(free), free.m_total >= needed};
}

void reportWaitingSteps(Context &context, const std::vector<Candidate> &candidates, const AvailableWorkers &availableWorkers)
{
    const fleet::BootTime now = context.m_now.m_boot;
    std::map<jobs::StepId, WaitingStep> &waitingSteps = context.m_state.m_waitingSteps;
    std::erase_if(waitingSteps, [&](const auto &entry) {
        return entry.second.m_seenAt != now;
    });
    std::vector<std::pair<fleet::BootTime, const Candidate *>> due;
    for (const Candidate &candidate : candidates) {
        const auto waiting = waitingSteps.find(candidate.m_step);
        if (waiting == waitingSteps.end()) {
            continue;
        }
        if (candidate.m_tasks.empty() && !candidate.m_isLimited) {
            waitingSteps.erase(waiting);
        } else if (waiting->second.m_reportDueAt <= now) {
            due.emplace_back(waiting->second.m_reportDueAt, &candidate);
        }
    }
    const std::int64_t allowed = std::min<std::int64_t>((now - context.m_state.m_waitsReportedAt) / timePerReport, maxReportsInAPlan);
    if (due.empty() || allowed == 0) {
        return;
    }
    std::sort(due.begin(), due.end());
    due.resize(std::min(due.size(), static_cast<std::size_t>(allowed)));
    context.m_state.m_waitsReportedAt = now;
    for (const auto &[dueAt, candidate] : due) {
        WaitingStep &waiting = waitingSteps.at(candidate->m_step);
        const WaitReport report = explainWait(context, *candidate, availableWorkers);
        waiting.m_reportDueAt = now + reportInterval;
        waiting.m_wouldFit = report.m_wouldFit;
        logWaiting(context, *candidate, waiting, report);
    }
}

std::size_t countStepsThatWouldFit(const State &state)
{
    return static_cast<std::size_t>(std::count_if(state.m_waitingSteps.begin(), state.m_waitingSteps.end(), [](const auto &entry) {
        return entry.second.m_wouldFit;
    }));
}

}
