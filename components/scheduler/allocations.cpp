#include "components/scheduler/allocations.hpp"

#include <algorithm>

namespace scheduler
{

namespace
{

int rackIndexOf(State &state, const fleet::RackId &rack)
{
    return state.m_rackIndex.emplace(rack, static_cast<int>(state.m_rackIndex.size())).first->second;
}

void markFleetGrown(State &state, fleet::TimePoint now)
{
    ++state.m_fleetVersion;
    state.m_fleetChangedAt = now;
    state.m_isFreed = true;
    state.m_isSlotRepairDue = true;
    state.m_isDirty = true;
}

void addWorker(State &state, const fleet::WorkerInfo &info, fleet::TimePoint now)
{
    const int rack = rackIndexOf(state, info.m_rack);
    const int index = placement::addNode(state.m_pool, info.m_capacity, rack);
    placement::addNode(state.m_guarantees.m_unreservedCapacity, info.m_capacity, rack);
    state.m_workerIndex.emplace(info.m_id, index);
    state.m_workers.push_back({.m_info = info});
    markFleetGrown(state, now);
}

void changeCapacity(placement::Node &node, const fleet::Resources &capacity)
{
    node.m_free = node.m_free + capacity - node.m_capacity;
    node.m_capacity = capacity;
}

/// The listed capacity may change at any time; allocations stay. The rack of a worker never changes.
void changeCapacity(State &state, int index, const fleet::Resources &capacity, fleet::TimePoint now)
{
    if (state.m_pool.m_nodes[index].m_capacity == capacity) {
        return;
    }
    changeCapacity(state.m_pool.m_nodes[index], capacity);
    changeCapacity(state.m_guarantees.m_unreservedCapacity.m_nodes[index], capacity);
    state.m_workers[index].m_info.m_capacity = capacity;
    markFleetGrown(state, now);
}

}

void addOrUpdateWorker(State &state, const WorkerListed &event, fleet::TimePoint now)
{
    auto found = state.m_workerIndex.find(event.m_info.m_id);
    if (found == state.m_workerIndex.end()) {
        addWorker(state, event.m_info, now);
        found = state.m_workerIndex.find(event.m_info.m_id);
    }
    Worker &worker = state.m_workers[found->second];
    worker.m_listed = true;
    worker.m_isExpected = true;
    worker.m_leaving = worker.m_leaving || event.m_leaving;
    changeCapacity(state, found->second, event.m_info.m_capacity, now);
    refreshUsable(state, found->second, now);
}

void refreshUsable(State &state, int index, fleet::TimePoint now)
{
    const Worker &worker = state.m_workers[index];
    bool &usable = state.m_pool.m_nodes[index].m_usable;
    const bool before = usable;
    const bool isQuarantined = health::isQuarantined(state.m_health, index);
    const bool isProbeBusy = health::isProbing(state.m_health, index) && !worker.m_tasks.empty();
    usable = worker.m_listed && !worker.m_leaving && !worker.m_isUnresponsive && !isQuarantined && !isProbeBusy && worker.m_backoffUntil <= now;
    state.m_guarantees.m_unreservedCapacity.m_nodes[index].m_usable = worker.m_listed && !worker.m_leaving && !worker.m_isUnresponsive && !isQuarantined;
    if (usable != before) {
        state.m_isDirty = true;
        state.m_isSlotRepairDue = true;
        state.m_isFreed = state.m_isFreed || usable;
    }
}

void allocateTask(State &state, const Job &job, int task)
{
    const int worker = job.m_attempt->m_tasks[task].m_worker;
    const fleet::Resources &perTask = job.m_spec.m_shape.m_perTask;
    placement::allocate(state.m_pool, worker, perTask);
    fleet::Resources &usage = state.m_usage[job.m_spec.m_account];
    usage = usage + perTask;
    if (job.m_attempt->m_slot != noSlot) {
        guarantees::occupy(state.m_guarantees, job.m_attempt->m_slot, worker, perTask);
    }
}

void releaseTask(State &state, const Job &job, int task)
{
    const int worker = job.m_attempt->m_tasks[task].m_worker;
    const fleet::Resources &perTask = job.m_spec.m_shape.m_perTask;
    placement::release(state.m_pool, worker, perTask);
    fleet::Resources &usage = state.m_usage[job.m_spec.m_account];
    usage = usage - perTask;
    if (job.m_attempt->m_slot != noSlot) {
        guarantees::vacate(state.m_guarantees, job.m_attempt->m_slot, worker, perTask);
        state.m_isSlotRepairDue = true;
        state.m_isCoverageCheckDue = true;
    }
    state.m_isFreed = true;
    state.m_isDirty = true;
}

void addLease(State &state, Job &job, int task)
{
    TaskRun &run = job.m_attempt->m_tasks[task];
    Worker &worker = state.m_workers[run.m_worker];
    run.m_isLeased = true;
    worker.m_tasks.push_back(taskRef(job, task));
    worker.m_leased = worker.m_leased + job.m_spec.m_shape.m_perTask;
}

void removeLease(State &state, Job &job, int task)
{
    TaskRun &run = job.m_attempt->m_tasks[task];
    if (!run.m_isLeased) {
        return;
    }
    Worker &worker = state.m_workers[run.m_worker];
    run.m_isLeased = false;
    std::erase(worker.m_tasks, taskRef(job, task));
    worker.m_leased = worker.m_leased - job.m_spec.m_shape.m_perTask;
}

bool hasCapacityForLeases(const State &state, const Job &job)
{
    std::map<int, fleet::Resources> needs;
    for (const TaskRun &task : job.m_attempt->m_tasks) {
        fleet::Resources &need = needs[task.m_worker];
        need = need + job.m_spec.m_shape.m_perTask;
    }
    return std::all_of(needs.begin(), needs.end(), [&state](const auto &entry) {
        const Worker &worker = state.m_workers[entry.first];
        return (worker.m_leased + entry.second).fitsIn(worker.m_info.m_capacity);
    });
}

TaskRef taskRef(const Job &job, int task)
{
    return {job.m_spec.m_id, job.m_attempt->m_number, task};
}

}
