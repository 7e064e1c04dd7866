#include "components/scheduler/guarantee_coverage.hpp"

#include "components/scheduler/gangs.hpp"
#include "components/scheduler/preemption.hpp"
#include "components/scheduler/queue.hpp"
#include "components/scheduler/urgency_budget.hpp"

#include <algorithm>

namespace scheduler
{

namespace
{

/// Returns the account's slots whose unused part is large enough for the shape, the smallest first.
std::vector<int> slotsFor(const State &state, const fleet::AccountId &account, const fleet::Shape &shape)
{
    std::vector<int> slots;
    for (const auto &[id, slot] : state.m_guarantees.m_slots) {
        if (slot.m_account == account && shape.total().fitsIn(guarantees::unusedPart(slot))) {
            slots.push_back(id);
        }
    }
    std::stable_sort(slots.begin(), slots.end(), [&state](int a, int b) {
        const guarantees::Slot &first = state.m_guarantees.m_slots.at(a);
        const guarantees::Slot &second = state.m_guarantees.m_slots.at(b);
        return std::make_pair(first.m_shape.total().m_accelerators, first.isUnfilled())
            < std::make_pair(second.m_shape.total().m_accelerators, second.isUnfilled());
    });
    return slots;
}

/// True if a gang of the shape uses the whole slot, so that the slot may move to the workers on which the gang runs.
bool usesWholeSlot(const fleet::Shape &shape, const guarantees::Slot &slot)
{
    const fleet::Shape &whole = slot.m_shape;
    const bool isSameSize = shape.m_tasks == whole.m_tasks && shape.m_perTask.m_accelerators == whole.m_perTask.m_accelerators;
    return slot.isUnfilled() && isSameSize && shape.m_perTask.fitsIn(whole.m_perTask) && shape.m_adjacency <= whole.m_adjacency;
}

/// Returns the free capacity of each node, up to `limit`.
placement::Pool freeCapacityWithin(const State &state, placement::Pool limit)
{
    for (std::size_t node = 0; node < limit.m_nodes.size(); ++node) {
        limit.m_nodes[node].m_free = placement::componentwiseMin(limit.m_nodes[node].m_free, state.m_pool.m_nodes[node].m_free);
        limit.m_nodes[node].m_usable = limit.m_nodes[node].m_usable && state.m_pool.m_nodes[node].m_usable;
    }
    return limit;
}

bool startInSlot(Context &context, Job &job, int slot, const placement::Assignment &workers, const std::vector<fleet::JobId> &victims)
{
    const fleet::Urgency urgency = effectiveUrgency(context.m_state, job, context.m_now);
    startAfterPreempting(context, job, {workers, slot, urgency}, victims);
    return true;
}

bool startWithinSlot(Context &context, Job &job, int id)
{
    const State &state = context.m_state;
    if (!state.m_guarantees.m_slots.at(id).isPlaced()) {
        return false;
    }
    const placement::Pool pool = freeCapacityWithin(state, guarantees::capacityInSlot(state.m_guarantees, id));
    const auto workers = placement::place(pool, job.m_spec.m_shape, placement::Rule::BestFit);
    return workers && startInSlot(context, job, id, *workers, {});
}

/// Moves the slot to workers on which its whole shape is free now, and starts the job there.
bool startByMovingSlot(Context &context, Job &job, int id)
{
    State &state = context.m_state;
    if (!usesWholeSlot(job.m_spec.m_shape, state.m_guarantees.m_slots.at(id))) {
        return false;
    }
    const placement::Pool pool = freeCapacityWithin(state, guarantees::capacityWithoutSlot(state.m_guarantees, id));
    const auto place = placement::place(pool, state.m_guarantees.m_slots.at(id).m_shape, placement::Rule::BestFit);
    if (!place) {
        return false;
    }
    guarantees::moveTo(state.m_guarantees, id, *place);
    return startInSlot(context, job, id, *place, {});
}

bool anyBorrower(const Job & /*victim*/)
{
    return true;
}

/// Preempts borrowers for the slot's whole shape where the least work is lost, and moves the slot there.
bool reclaimAndMoveSlot(Context &context, Job &job, int id)
{
    State &state = context.m_state;
    const placement::Pool ceiling = guarantees::capacityWithoutSlot(state.m_guarantees, id);
    const auto preemption = planPreemption(context, state.m_guarantees.m_slots.at(id).m_shape, ceiling, anyBorrower);
    if (!preemption) {
        return false;
    }
    guarantees::moveTo(state.m_guarantees, id, preemption->m_workers);
    return startInSlot(context, job, id, preemption->m_workers, preemption->m_victims);
}

bool reclaimWithinSlot(Context &context, Job &job, int id)
{
    State &state = context.m_state;
    if (!state.m_guarantees.m_slots.at(id).isPlaced()) {
        return false;
    }
    const placement::Pool ceiling = guarantees::capacityInSlot(state.m_guarantees, id);
    const auto preemption = planPreemption(context, job.m_spec.m_shape, ceiling, anyBorrower);
    return preemption && startInSlot(context, job, id, preemption->m_workers, preemption->m_victims);
}

bool reclaimForSlot(Context &context, Job &job, int id)
{
    if (usesWholeSlot(job.m_spec.m_shape, context.m_state.m_guarantees.m_slots.at(id))) {
        return reclaimAndMoveSlot(context, job, id);
    }
    return reclaimWithinSlot(context, job, id);
}

/// Turns the gangs of the slot into borrowers; the slot becomes unfilled and unplaced.
void releaseCoverage(State &state, int id)
{
    for (const fleet::JobId &job : state.m_active) {
        Attempt &attempt = *state.m_jobs.at(job).m_attempt;
        if (attempt.m_slot == id) {
            attempt.m_slot = noSlot;
        }
    }
    guarantees::unplace(state.m_guarantees, id);
}

/// True if a part of the slot is on a worker that is not usable or whose capacity shrank below what slots need.
bool isPlacedOnUnusableWorker(const State &state, const guarantees::Slot &slot)
{
    return std::any_of(slot.m_nodes.begin(), slot.m_nodes.end(), [&state](const guarantees::SlotNode &part) {
        const placement::Node &node = state.m_guarantees.m_unreservedCapacity.m_nodes[part.m_node];
        return !node.m_usable || !fleet::Resources {}.fitsIn(node.m_free);
    });
}

/// True unless all workers of the slot are merely unresponsive. Such a worker may answer again soon; one that leaves,
/// was removed or is in quarantine is not waited for.
bool isLongTermUnusable(const State &state, const guarantees::Slot &slot)
{
    return std::any_of(slot.m_nodes.begin(), slot.m_nodes.end(), [&state](const guarantees::SlotNode &part) {
        const Worker &worker = state.m_workers[part.m_node];
        return !worker.m_isUnresponsive || !worker.m_listed || worker.m_leaving;
    });
}

void repairPlaces(State &state)
{
    for (auto &[id, slot] : state.m_guarantees.m_slots) {
        if (!slot.isPlaced() || !isPlacedOnUnusableWorker(state, slot)) {
            continue;
        }
        if (slot.isUnfilled()) {
            guarantees::unplace(state.m_guarantees, id);
        } else if (isLongTermUnusable(state, slot)) {
            releaseCoverage(state, id);
        }
    }
    guarantees::packUnplaced(state.m_guarantees);
}

/// Assigns a running gang to an unfilled slot of its account if the slot can move to the gang's workers.
bool coverRunning(State &state, Job &job, int id)
{
    const guarantees::Slot &slot = state.m_guarantees.m_slots.at(id);
    if (!usesWholeSlot(job.m_spec.m_shape, slot)) {
        return false;
    }
    placement::Assignment workers;
    for (const TaskRun &task : job.m_attempt->m_tasks) {
        workers.push_back(task.m_worker);
    }
    placement::Pool capacity = guarantees::capacityWithoutSlot(state.m_guarantees, id);
    placement::allocate(capacity, workers, slot.m_shape.m_perTask);
    const bool hasCapacity = std::all_of(workers.begin(), workers.end(), [&capacity](int worker) {
        return capacity.m_nodes[worker].m_usable && fleet::Resources {}.fitsIn(capacity.m_nodes[worker].m_free);
    });
    const bool isAdjacent = slot.m_shape.m_adjacency == job.m_spec.m_shape.m_adjacency;
    if (!hasCapacity || !isAdjacent) {
        return false;
    }
    guarantees::moveTo(state.m_guarantees, id, workers);
    job.m_attempt->m_slot = id;
    for (const int worker : workers) {
        guarantees::occupy(state.m_guarantees, id, worker, job.m_spec.m_shape.m_perTask);
    }
    return true;
}

bool isWholeAndRunning(const Attempt &attempt)
{
    return attempt.m_phase == AttemptPhase::Running && std::none_of(attempt.m_tasks.begin(), attempt.m_tasks.end(), [](const TaskRun &task) {
               return task.m_over;
           });
}

void coverGangs(State &state)
{
    for (const fleet::JobId &id : state.m_active) {
        Job &job = state.m_jobs.at(id);
        if (job.m_attempt->m_slot != noSlot || !isWholeAndRunning(*job.m_attempt)) {
            continue;
        }
        const std::vector<int> slots = slotsFor(state, job.m_spec.m_account, job.m_spec.m_shape);
        for (const int slot : slots) {
            if (coverRunning(state, job, slot)) {
                break;
            }
        }
    }
}

}

void applyGuarantees(Context &context)
{
    State &state = context.m_state;
    std::map<fleet::AccountId, std::vector<fleet::Shape>> wanted;
    for (const auto &[id, slot] : state.m_guarantees.m_slots) {
        wanted.try_emplace(slot.m_account);
    }
    for (const auto &[id, account] : state.m_accounts) {
        wanted[id] = account.m_guarantees;
    }
    for (const auto &[account, shapes] : wanted) {
        for (const int dropped : guarantees::updateSlots(state.m_guarantees, account, shapes)) {
            for (const fleet::JobId &job : state.m_active) {
                Attempt &attempt = *state.m_jobs.at(job).m_attempt;
                attempt.m_slot = attempt.m_slot == dropped ? noSlot : attempt.m_slot;
            }
        }
    }
    state.m_isSlotRepairDue = true;
    state.m_isCoverageCheckDue = true;
}

void repairSlots(Context &context)
{
    State &state = context.m_state;
    if (state.m_isCoverageCheckDue) {
        coverGangs(state);
    }
    if (state.m_isSlotRepairDue) {
        repairPlaces(state);
    }
    state.m_isCoverageCheckDue = false;
    state.m_isSlotRepairDue = false;
}

bool startCovered(Context &context, Job &job)
{
    const std::vector<int> slots = slotsFor(context.m_state, job.m_spec.m_account, job.m_spec.m_shape);
    const auto startsWith = [&](bool (*start)(Context &, Job &, int)) {
        return std::any_of(slots.begin(), slots.end(), [&](int id) {
            return start(context, job, id);
        });
    };
    if (startsWith(startWithinSlot) || startsWith(startByMovingSlot)) {
        return true;
    }
    const GroupKey key = groupKey(job.m_spec);
    auto &blocked = context.m_state.m_blockedReclaims;
    if (std::find(blocked.begin(), blocked.end(), key) != blocked.end()) {
        return false;
    }
    if (startsWith(reclaimForSlot)) {
        return true;
    }
    blocked.push_back(key);
    return false;
}

}
