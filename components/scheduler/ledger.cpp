#include "components/scheduler/ledger.hpp"

#include <algorithm>

namespace scheduler
{

namespace
{

int rackOf(State &state, const fleet::RackId &rack)
{
    return state.m_rackIndex.emplace(rack, static_cast<int>(state.m_rackIndex.size())).first->second;
}

void addWorker(State &state, const fleet::WorkerInfo &info)
{
    const int index = placement::addNode(state.m_pool, info.m_capacity, rackOf(state, info.m_rack));
    state.m_workerIndex.emplace(info.m_id, index);
    state.m_workers.push_back({.m_info = info});
}

/// Capacity may be listed anew at any time; what is booked stays booked. The rack of a worker never changes.
void changeCapacity(State &state, int index, const fleet::Resources &capacity)
{
    placement::Node &node = state.m_pool.m_nodes[index];
    node.m_free = node.m_free + capacity - node.m_capacity;
    node.m_capacity = capacity;
    state.m_workers[index].m_info.m_capacity = capacity;
}

}

void listWorker(State &state, const WorkerListed &event)
{
    auto found = state.m_workerIndex.find(event.m_info.m_id);
    if (found == state.m_workerIndex.end()) {
        addWorker(state, event.m_info);
        found = state.m_workerIndex.find(event.m_info.m_id);
    }
    Worker &worker = state.m_workers[found->second];
    worker.m_listed = true;
    worker.m_leaving = worker.m_leaving || event.m_leaving;
    changeCapacity(state, found->second, event.m_info.m_capacity);
    refreshUsable(state, found->second);
}

void refreshUsable(State &state, int index)
{
    const Worker &worker = state.m_workers[index];
    bool &usable = state.m_pool.m_nodes[index].m_usable;
    const bool before = usable;
    usable = worker.m_listed && !worker.m_leaving && !worker.m_silent;
    state.m_isDirty = state.m_isDirty || usable != before;
}

void book(State &state, const Job &job)
{
    for (const TaskRun &task : job.m_attempt->m_tasks) {
        placement::take(state.m_pool, task.m_worker, job.m_spec.m_shape.m_perTask);
    }
}

void unbook(State &state, const Job &job, int task)
{
    placement::give(state.m_pool, job.m_attempt->m_tasks[task].m_worker, job.m_spec.m_shape.m_perTask);
    state.m_isDirty = true;
}

void addLease(State &state, const Job &job, int task)
{
    state.m_workers[job.m_attempt->m_tasks[task].m_worker].m_tasks.push_back(taskRef(job, task));
}

void removeLease(State &state, const Job &job, int task)
{
    std::erase(state.m_workers[job.m_attempt->m_tasks[task].m_worker].m_tasks, taskRef(job, task));
}

TaskRef taskRef(const Job &job, int task)
{
    return {job.m_spec.m_id, job.m_attempt->m_number, task};
}

}
