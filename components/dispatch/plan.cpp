#include "components/dispatch/plan.hpp"

#include "components/dispatch/advice.hpp"
#include "components/dispatch/candidates.hpp"
#include "components/dispatch/context.hpp"
#include "components/dispatch/evictions.hpp"
#include "components/dispatch/expectations.hpp"
#include "components/dispatch/guarantees.hpp"
#include "components/dispatch/placing.hpp"
#include "components/dispatch/rooms.hpp"
#include "components/dispatch/runs.hpp"
#include "components/dispatch/shape.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace dispatch
{

namespace
{

/// Room made for a step is kept for it this long: a stop, its end being stored, and a look in between.
constexpr fleet::Duration reservationTime {1500};
/// A gang that has waited this long for room has workers kept free for it, and for how long before others are chosen.
constexpr fleet::Duration waitBeforeHolding {1500};
constexpr fleet::Duration holdingTime {6000};
/// Parts of the bound for guaranteed room after which borrowed room is taken back, and any rack is good enough.
constexpr int reclaimAfterPart = 4;
constexpr int anyRackAfterPart = 2;
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

std::string ticketFor(const Candidate &candidate, const fleet::WorkerId &worker)
{
    return candidate.m_tickets ? candidate.m_tickets->at(worker) : std::string();
}

void start(Context &context, const Candidate &candidate, const Choice &choice, Rooms &rooms)
{
    const journal::JobRecord &job = context.m_ledger.m_jobs.at(candidate.m_step.m_job);
    const std::uint32_t run = candidate.m_joinedRun > 0 ? candidate.m_joinedRun : nextRun(job, candidate);
    std::size_t next = 0;
    for (const auto &[room, tasks] : choice.m_places) {
        for (std::uint32_t i = 0; i < tasks; ++i) {
            const workers::WorkerIncarnation &life = room->m_worker->m_registration.m_incarnation;
            launch(context, {{candidate.m_step, candidate.m_tasks[next++]}, run}, life, ticketFor(candidate, life.m_worker));
            room->m_free = room->m_free - candidate.m_perTask;
            room->m_hasTrialRun = true;
        }
    }
    if (context.m_state.m_reservations.erase(candidate.m_step) > 0) {
        for (Room &room : rooms) {
            std::erase_if(room.m_holds, [&](const Hold &hold) {
                return hold.m_step == candidate.m_step;
            });
        }
    }
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

/// Keeps the room of the tasks on each worker for the candidate.
void reserve(Context &context, const Candidate &candidate, const std::map<Room *, std::uint32_t> &tasks, fleet::Duration length)
{
    Reservation reservation;
    reservation.m_until = context.m_now.m_boot + length;
    reservation.m_rank = rankOf(candidate);
    for (const auto &[room, count] : tasks) {
        const fleet::Resources resources = candidate.m_perTask * count;
        reservation.m_room[room->m_worker->m_registration.m_incarnation.m_worker] = resources;
        room->m_holds.push_back({candidate.m_step, reservation.m_rank, resources});
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
    std::map<Room *, std::uint32_t> tasks;
    for (const Eviction &eviction : chosen) {
        tasks[eviction.m_room] = eviction.m_slots;
    }
    reserve(context, candidate, tasks, reservationTime);
    for (const Eviction &eviction : chosen) {
        for (const jobs::RunId &victim : eviction.m_victims) {
            wantStop(context, victim, "room-for-" + toString(candidate.m_step.m_job));
        }
    }
}

/// Keeps the workers that will have room soonest free for a gang; small tasks would else take each free accelerator for ever.
void holdRoom(Context &context, const Candidate &candidate, Rooms &rooms)
{
    const auto most = static_cast<std::size_t>(mostHeld * static_cast<double>(rooms.size()));
    const std::size_t held = countHeld(rooms);
    if (held >= most) {
        return;
    }
    const std::optional<Expectation> expected = expectRoom(context, candidate, rooms);
    if (!expected || held + expected->m_tasks.size() > most) {
        return;
    }
    reserve(context, candidate, expected->m_tasks, holdingTime);
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

Shape shapeOf(const Candidate &candidate)
{
    return {candidate.m_queue->m_service,
            candidate.m_spec->m_requiredLabel,
            candidate.m_perTask,
            rankOf(candidate),
            candidate.m_spec->m_isGang,
            candidate.m_wantsOneRack};
}

/// Where one step of a shape found no room, a larger one of the same shape finds none in the same plan. With the fewest tasks.
using Refused = std::vector<std::pair<Shape, std::size_t>>;

Refused::iterator findShape(Refused &refused, const Shape &shape)
{
    return std::find_if(refused.begin(), refused.end(), [&](const auto &entry) {
        return entry.first == shape;
    });
}

bool isComparable(const Context &context, const Candidate &candidate)
{
    return candidate.m_joinedRun == 0 && !candidate.m_tickets && candidate.m_spec->m_maxPerRunner == 0
        && !context.m_state.m_reservations.contains(candidate.m_step);
}

bool isRefused(const Context &context, const Candidate &candidate, Refused &refused)
{
    const auto found = findShape(refused, shapeOf(candidate));
    return found != refused.end() && candidate.m_tasks.size() >= found->second && isComparable(context, candidate);
}

void noteRefused(const Context &context, const Candidate &candidate, Refused &refused)
{
    if (!isComparable(context, candidate)) {
        return;
    }
    const std::size_t tasks = candidate.m_spec->m_isGang ? candidate.m_tasks.size() : 1;
    const auto found = findShape(refused, shapeOf(candidate));
    if (found == refused.end()) {
        refused.emplace_back(shapeOf(candidate), tasks);
    } else {
        found->second = std::min(found->second, tasks);
    }
}

/// Starts what there is room for, and makes room where the candidate goes before others.
void tryToPlace(Context &context, Candidate &candidate, Rooms &rooms)
{
    const Choice choice = choosePlaces(candidate, rooms, context.m_now.m_boot);
    if (choice.m_tasks > 0) {
        start(context, candidate, choice, rooms);
        candidate.m_tasks.erase(candidate.m_tasks.begin(), candidate.m_tasks.begin() + choice.m_tasks);
    }
    const bool isWaitingForRoom = context.m_state.m_reservations.contains(candidate.m_step);
    if (!candidate.m_tasks.empty() && !isWaitingForRoom && candidate.m_queue->m_priority == 0) {
        makeRoom(context, candidate, rooms);
    }
}

fleet::Duration waitedFor(const Context &context, const Candidate &candidate)
{
    return context.m_now.m_boot - context.m_state.m_active.at(candidate.m_step.m_job);
}

/// A guaranteed step must begin within the bound: after a part of it, it takes back what others borrow, and any rack will do.
void pressGuarantee(const Context &context, Candidate &candidate)
{
    const fleet::Duration waited = waitedFor(context, candidate);
    candidate.m_mayReclaim = candidate.m_isGuaranteed && waited >= context.m_state.m_settings.m_reclaimLimit / reclaimAfterPart;
    if (candidate.m_isGuaranteed && waited >= context.m_state.m_settings.m_reclaimLimit / anyRackAfterPart) {
        candidate.m_wantsOneRack = false;
    }
}

void placeCandidate(Context &context, Candidate &candidate, Rooms &rooms, Refused &refused)
{
    pressGuarantee(context, candidate);
    if (!isRefused(context, candidate, refused)) {
        tryToPlace(context, candidate, rooms);
    }
    if (candidate.m_tasks.empty() || context.m_state.m_reservations.contains(candidate.m_step)) {
        return;
    }
    noteRefused(context, candidate, refused);
    if (candidate.m_tickets) {
        askAdvice(context, candidate, rooms);
    }
    const bool hasWaited = waitedFor(context, candidate) >= waitBeforeHolding;
    if (candidate.m_spec->m_isGang && hasWaited) {
        holdRoom(context, candidate, rooms);
    }
}

}

bool plan(Context &context)
{
    dropOldReservations(context);
    Rooms rooms = findRooms(context);
    Refused refused;
    bool isAnyLeft = false;
    for (Candidate &candidate : findCandidates(context)) {
        placeCandidate(context, candidate, rooms, refused);
        isAnyLeft = isAnyLeft || !candidate.m_tasks.empty();
    }
    return isAnyLeft;
}

}
