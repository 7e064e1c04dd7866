#include "components/scheduler/reservations.hpp"

#include "components/scheduler/fair_share.hpp"
#include "components/scheduler/gangs.hpp"
#include "components/scheduler/preemption.hpp"
#include "components/scheduler/progress.hpp"
#include "components/scheduler/urgency_budget.hpp"

#include <algorithm>

namespace scheduler
{

namespace
{

/// Maximum number of waiting jobs examined for a reservation, oldest first.
constexpr int maxCandidates = 64;

bool isReserved(const State &state, const fleet::JobId &id)
{
    return std::any_of(state.m_reservations.begin(), state.m_reservations.end(), [&id](const Reservation &one) {
        return one.m_job == id;
    });
}

void dropReservation(State &state, const fleet::JobId &id)
{
    std::erase_if(state.m_reservations, [&id](const Reservation &one) {
        return one.m_job == id;
    });
}

bool isUsable(const State &state, const Reservation &reservation)
{
    return std::all_of(reservation.m_workers.begin(), reservation.m_workers.end(), [&state](int worker) {
        return state.m_pool.m_nodes[worker].m_usable;
    });
}

PlacementDecision decisionFor(const Context &context, const Job &job, const placement::Assignment &workers)
{
    return {workers, noSlot, effectiveUrgency(context.m_state, job, context.m_now)};
}

/// Starts the job on free capacity, except capacity that earlier reservations hold.
bool startIfFree(Context &context, Job &job)
{
    const State &state = context.m_state;
    placement::Pool pool = state.m_pool;
    for (const Reservation &earlier : state.m_reservations) {
        if (earlier.m_job == job.m_spec.m_id) {
            break;
        }
        placement::allocate(pool, earlier.m_workers, state.m_jobs.at(earlier.m_job).m_spec.m_shape.m_perTask);
    }
    const auto workers = placement::place(pool, job.m_spec.m_shape, placement::Rule::BestFit);
    if (!workers) {
        return false;
    }
    beginAttempt(context, job, decisionFor(context, job, *workers));
    return true;
}

/// True if the gang can checkpoint and has run for at least `m_repackMinRunTime`.
bool isPreemptibleForReservation(const Context &context, const Job &victim)
{
    const Attempt &attempt = *victim.m_attempt;
    const bool hasRun = attempt.m_phase == AttemptPhase::Running && context.m_now - attempt.m_startedAt >= context.m_state.m_settings.m_repackMinRunTime;
    return victim.m_spec.m_checkpointable && hasRun;
}

/// Preempts borrowers for a reserved job: gangs placed after the reservation once it is due, older gangs once the grace
/// period is over, and gangs that can checkpoint at any time once the job has waited `m_reservationMaxWait`.
bool startByPreempting(Context &context, Job &job, const Reservation &reservation)
{
    const Settings &settings = context.m_state.m_settings;
    const bool isDue = context.m_now >= reservation.m_dueAt;
    const bool isGracePeriodOver = context.m_now >= reservation.m_dueAt + settings.m_reservationGracePeriod;
    const bool hasWaited = context.m_now - job.m_spec.m_submittedAt >= settings.m_reservationMaxWait;
    if (!context.m_isTick || (!isDue && !hasWaited)) {
        return false;
    }
    const auto mayPreempt = [&](const Job &victim) {
        const bool isLater = isDue && victim.m_attempt->m_placedAt >= reservation.m_madeAt;
        const bool isPreemptible = isLater || isGracePeriodOver || (hasWaited && isPreemptibleForReservation(context, victim));
        return victim.m_attempt->m_urgency != fleet::Urgency::Urgent && isPreemptible;
    };
    const auto preemption = planPreemption(context, job.m_spec.m_shape, wholeCapacity(context.m_state), mayPreempt);
    if (!preemption) {
        return false;
    }
    startAfterPreempting(context, job, decisionFor(context, job, preemption->m_workers), preemption->m_victims);
    return true;
}

bool canStartNow(const Context &context, const Job &job)
{
    return isWithinQuota(context.m_state, job.m_spec) && job.m_notBefore <= context.m_now;
}

void startOrKeep(Context &context, const Reservation &reservation)
{
    State &state = context.m_state;
    const auto found = state.m_jobs.find(reservation.m_job);
    const bool isWaiting = found != state.m_jobs.end() && !found->second.m_attempt;
    if (!isWaiting || !isUsable(state, reservation) || !canStartNow(context, found->second)) {
        dropReservation(state, reservation.m_job);
        return;
    }
    Job &job = found->second;
    if (startIfFree(context, job) || startByPreempting(context, job, reservation)) {
        dropReservation(state, reservation.m_job);
    }
}

bool isReservable(const Context &context, const Job &job)
{
    const State &state = context.m_state;
    const bool isBackground = effectiveUrgency(state, job, context.m_now) == fleet::Urgency::Background;
    return !isBackground && !isReserved(state, job.m_spec.m_id) && canStartNow(context, job);
}

/// Returns the jobs with an attempt, by estimated end.
std::vector<std::pair<fleet::TimePoint, const Job *>> probableEnds(const Context &context)
{
    std::vector<std::pair<fleet::TimePoint, const Job *>> ends;
    ends.reserve(context.m_state.m_active.size());
    for (const fleet::JobId &id : context.m_state.m_active) {
        const Job &job = context.m_state.m_jobs.at(id);
        ends.emplace_back(probableEnd(job, context.m_now), &job);
    }
    std::stable_sort(ends.begin(), ends.end(), [](const auto &a, const auto &b) {
        return a.first < b.first;
    });
    return ends;
}

void release(placement::Pool &pool, const Job &job)
{
    for (const TaskRun &task : job.m_attempt->m_tasks) {
        if (!task.m_over && task.m_worker != unknownWorker) {
            placement::release(pool, task.m_worker, job.m_spec.m_shape.m_perTask);
        }
    }
}

/// Finds the earliest time at which the shape is expected to fit, by binary search over the estimated ends.
std::optional<Reservation> findReservation(const Context &context, const Job &job)
{
    const auto ends = probableEnds(context);
    const placement::Pool now = poolOutsideReservations(context.m_state);
    const auto placeAfter = [&](std::size_t count) {
        placement::Pool pool = now;
        for (std::size_t ended = 0; ended < count; ++ended) {
            release(pool, *ends[ended].second);
        }
        return placement::place(pool, job.m_spec.m_shape, placement::Rule::BestFit);
    };
    std::size_t low = 0;
    std::size_t high = ends.size();
    if (!placeAfter(high)) {
        return std::nullopt;
    }
    while (low < high) {
        const std::size_t middle = (low + high) / 2;
        if (placeAfter(middle)) {
            high = middle;
        } else {
            low = middle + 1;
        }
    }
    const fleet::TimePoint due = low == 0 ? context.m_now : ends[low - 1].first;
    return Reservation {job.m_spec.m_id, *placeAfter(low), context.m_now, due};
}

/// True if every victim fits elsewhere once the job uses its workers.
bool canMoveAll(const State &state, const Job &job, const PreemptionPlan &preemption)
{
    placement::Pool pool = state.m_pool;
    for (const fleet::JobId &id : preemption.m_victims) {
        release(pool, state.m_jobs.at(id));
    }
    placement::allocate(pool, preemption.m_workers, job.m_spec.m_shape.m_perTask);
    return std::all_of(preemption.m_victims.begin(), preemption.m_victims.end(), [&](const fleet::JobId &id) {
        const fleet::Shape &shape = state.m_jobs.at(id).m_spec.m_shape;
        const auto workers = placement::place(pool, shape, placement::Rule::BestFit);
        if (workers) {
            placement::allocate(pool, *workers, shape.m_perTask);
        }
        return workers.has_value();
    });
}

bool startByRepacking(Context &context, const Reservation &reservation)
{
    State &state = context.m_state;
    const Settings &settings = state.m_settings;
    Job &job = state.m_jobs.at(reservation.m_job);
    if (job.m_attempt || !canStartNow(context, job)) {
        return false;
    }
    const auto mayPreempt = [&](const Job &victim) {
        return isPreemptibleForReservation(context, victim) && victim.m_attempt->m_urgency != fleet::Urgency::Urgent;
    };
    const auto preemption = planPreemption(context, job.m_spec.m_shape, wholeCapacity(state), mayPreempt);
    if (!preemption) {
        return false;
    }
    const double saved = std::chrono::duration<double>(reservation.m_dueAt - context.m_now).count();
    const double gain = saved * static_cast<double>(job.m_spec.m_shape.total().m_accelerators);
    if (gain <= settings.m_repackGain * preemption->m_cost || !canMoveAll(state, job, *preemption)) {
        return false;
    }
    startAfterPreempting(context, job, decisionFor(context, job, preemption->m_workers), preemption->m_victims);
    return true;
}

}

void startReserved(Context &context)
{
    const std::vector<Reservation> reservations = context.m_state.m_reservations;
    for (const Reservation &reservation : reservations) {
        startOrKeep(context, reservation);
    }
}

void makeReservations(Context &context)
{
    State &state = context.m_state;
    int examined = 0;
    for (auto entry = state.m_waiting.begin(); entry != state.m_waiting.end() && examined < maxCandidates; ++entry, ++examined) {
        if (static_cast<int>(state.m_reservations.size()) >= state.m_settings.m_maxReservations) {
            return;
        }
        const Job &job = state.m_jobs.at(entry->m_job);
        if (!isReservable(context, job)) {
            continue;
        }
        if (auto reservation = findReservation(context, job)) {
            state.m_reservations.push_back(std::move(*reservation));
        }
    }
}

void repack(Context &context)
{
    State &state = context.m_state;
    if (context.m_now - state.m_repackedAt < state.m_settings.m_repackInterval) {
        return;
    }
    state.m_repackedAt = context.m_now;
    const std::vector<Reservation> reservations = state.m_reservations;
    for (const Reservation &reservation : reservations) {
        if (startByRepacking(context, reservation)) {
            dropReservation(state, reservation.m_job);
        }
    }
}

placement::Pool poolOutsideReservations(const State &state)
{
    placement::Pool pool = state.m_pool;
    for (const Reservation &reservation : state.m_reservations) {
        placement::allocate(pool, reservation.m_workers, state.m_jobs.at(reservation.m_job).m_spec.m_shape.m_perTask);
    }
    return pool;
}

fleet::TimePoint earliestDue(const State &state)
{
    fleet::TimePoint due = fleet::TimePoint::max();
    for (const Reservation &reservation : state.m_reservations) {
        due = std::min(due, reservation.m_dueAt);
    }
    return due;
}

}
