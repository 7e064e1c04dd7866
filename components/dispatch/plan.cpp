#include "components/dispatch/plan.hpp"

#include "components/dispatch/candidates.hpp"
#include "components/dispatch/context.hpp"
#include "components/dispatch/evictions.hpp"
#include "components/dispatch/expectations.hpp"
#include "components/dispatch/placing.hpp"
#include "components/dispatch/rooms.hpp"
#include "components/dispatch/runs.hpp"

#include <algorithm>
#include <optional>
#include <set>

namespace dispatch
{

namespace
{

/// Room made for a step is kept for it this long: a stop, its end being stored, and a look in between.
constexpr fleet::Duration reservationTime {1500};
/// A gang that has waited this long for room has workers kept free for it, and for how long before others are chosen.
constexpr fleet::Duration waitBeforeHolding {1500};
constexpr fleet::Duration holdingTime {6000};
/// Part of the workers in use that may be kept free for waiting gangs.
constexpr double mostHeld = 0.25;

std::uint32_t nextRun(const journal::JobRecord &job, const Candidate &candidate)
{
    const journal::StepRecord *record = journal::findStep(job, candidate.m_step);
    std::uint32_t highest = 0;
    if (record != nullptr) {
        for (const journal::TaskRecord &task : record->m_tasks) {
            highest = std::max(highest, task.m_lastRun);
            for (const journal::OpenRun &run : task.m_neverBegan) {
                highest = std::max(highest, run.m_run);
            }
        }
    }
    return highest + 1;
}

void start(Context &context, const Candidate &candidate, const Choice &choice)
{
    const journal::JobRecord &job = context.m_ledger.m_jobs.at(candidate.m_step.m_job);
    const std::uint32_t run = candidate.m_joinedRun > 0 ? candidate.m_joinedRun : nextRun(job, candidate);
    std::size_t next = 0;
    for (const auto &[room, tasks] : choice.m_places) {
        for (std::uint32_t i = 0; i < tasks; ++i) {
            launch(context, {{candidate.m_step, candidate.m_tasks[next++]}, run}, room->m_worker->m_registration.m_life, {});
            room->m_free = room->m_free - candidate.m_perTask;
        }
    }
    context.m_state.m_reservations.erase(candidate.m_step);
    if (candidate.m_spec->m_isGang) {
        context.m_state.m_incompleteGangs.insert(candidate.m_step);
    }
    context.m_out.m_log.push_back(logging::Line("dispatch", "launch")
                                      .add("job", toString(candidate.m_step.m_job))
                                      .add("occurrence", candidate.m_step.m_occurrence)
                                      .add("step", candidate.m_step.m_step)
                                      .add("run", run)
                                      .add("tasks", next)
                                      .add("workers", choice.m_places.size())
                                      .add("priority", candidate.m_queue->m_priority)
                                      .add("waited_ms", context.m_now.m_wall - job.m_acceptedAt)
                                      .add("token", context.m_state.m_token.m_value)
                                      .add("catalog", context.m_catalog.m_version));
}

void reserve(Context &context, const Candidate &candidate, const std::vector<Eviction> &evictions)
{
    Reservation reservation;
    reservation.m_until = context.m_now.m_boot + reservationTime;
    reservation.m_priority = candidate.m_queue->m_priority;
    for (const Eviction &eviction : evictions) {
        reservation.m_room[eviction.m_room->m_worker->m_registration.m_life.m_worker] = candidate.m_perTask * eviction.m_slots;
    }
    context.m_state.m_reservations[candidate.m_step] = std::move(reservation);
}

/// Stops runs of lower priority for the candidate.
void makeRoom(Context &context, const Candidate &candidate, Rooms &rooms)
{
    const std::vector<Eviction> chosen = chooseEvictions(context, candidate, rooms);
    if (chosen.empty()) {
        return;
    }
    reserve(context, candidate, chosen);
    for (const Eviction &eviction : chosen) {
        for (const jobs::RunId &victim : eviction.m_victims) {
            wantStop(context, victim, "room-for-" + toString(candidate.m_step.m_job));
        }
    }
}

std::size_t countHeld(const Context &context)
{
    std::set<fleet::WorkerId> held;
    for (const auto &[step, reservation] : context.m_state.m_reservations) {
        for (const auto &[worker, room] : reservation.m_room) {
            held.insert(worker);
        }
    }
    return held.size();
}

/// Keeps the workers that will have room soonest free for a gang; small tasks would else take each free accelerator for ever.
void holdRoom(Context &context, const Candidate &candidate, Rooms &rooms)
{
    const std::optional<Expectation> expected = expectRoom(context, candidate, rooms);
    const double held = static_cast<double>(countHeld(context) + (expected ? expected->m_tasks.size() : 0));
    if (!expected || held > mostHeld * static_cast<double>(rooms.size())) {
        return;
    }
    Reservation reservation;
    reservation.m_until = context.m_now.m_boot + holdingTime;
    reservation.m_priority = candidate.m_queue->m_priority;
    for (const auto &[room, tasks] : expected->m_tasks) {
        reservation.m_room[room->m_worker->m_registration.m_life.m_worker] = candidate.m_perTask * tasks;
    }
    context.m_state.m_reservations[candidate.m_step] = std::move(reservation);
    context.m_out.m_log.push_back(logging::Line("dispatch", "hold")
                                      .add("job", toString(candidate.m_step.m_job))
                                      .add("step", candidate.m_step.m_step)
                                      .add("workers", expected->m_tasks.size())
                                      .add("expected_ms", expected->m_wait));
}

void dropOldReservations(Context &context)
{
    std::erase_if(context.m_state.m_reservations, [&](const auto &entry) {
        const journal::JobRecord *job = journal::findJob(context.m_ledger, entry.first.m_job);
        return context.m_now.m_boot >= entry.second.m_until || job == nullptr || job->isOver();
    });
}

void placeCandidate(Context &context, Candidate &candidate, Rooms &rooms)
{
    const Choice choice = choosePlaces(context, candidate, rooms);
    if (choice.m_tasks > 0) {
        start(context, candidate, choice);
        candidate.m_tasks.erase(candidate.m_tasks.begin(), candidate.m_tasks.begin() + choice.m_tasks);
    }
    if (candidate.m_tasks.empty() || context.m_state.m_reservations.contains(candidate.m_step)) {
        return;
    }
    if (candidate.m_queue->m_priority == 0) {
        makeRoom(context, candidate, rooms);
    }
    const bool hasWaited = context.m_now.m_wall - context.m_ledger.m_jobs.at(candidate.m_step.m_job).m_acceptedAt >= waitBeforeHolding;
    if (candidate.m_spec->m_isGang && hasWaited && !context.m_state.m_reservations.contains(candidate.m_step)) {
        holdRoom(context, candidate, rooms);
    }
}

}

void plan(Context &context)
{
    dropOldReservations(context);
    Rooms rooms = findRooms(context);
    for (Candidate &candidate : findCandidates(context)) {
        placeCandidate(context, candidate, rooms);
    }
}

}
