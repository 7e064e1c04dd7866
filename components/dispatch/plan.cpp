#include "components/dispatch/plan.hpp"

#include "components/dispatch/candidates.hpp"
#include "components/dispatch/context.hpp"
#include "components/dispatch/runs.hpp"

#include <algorithm>
#include <limits>
#include <optional>
#include <tuple>

namespace dispatch
{

namespace
{

/// Room made for a step is kept for it this long: a stop, its end being stored, and a look in between.
constexpr fleet::Duration reservationTime {1500};
/// A worker that has not answered for this many orders in a row gets no new runs.
constexpr int silencesToAvoid = 1;
/// What one accelerator counts for in lost work, in cores; from the users' price of wasted work.
constexpr std::int64_t coresPerAccelerator = 8;
constexpr std::int64_t millisPerCore = 1000;
/// A run that goes on from a checkpoint loses about this much; a run that starts anew loses its start besides.
constexpr fleet::Duration restoreTime {600};
constexpr fleet::Duration startOverhead {50};

/// What one worker has free, and who could take it.
struct Room
{
    WorkerState *m_worker = nullptr;
    fleet::Resources m_free;
};

using Rooms = std::vector<Room>;

struct Placement
{
    WorkerState *m_worker = nullptr;
    std::uint32_t m_tasks = 0;
};

std::uint32_t countFitting(const fleet::Resources &free, const fleet::Resources &perTask)
{
    std::int64_t count = std::numeric_limits<std::uint16_t>::max();
    const auto limit = [&](std::int64_t have, std::int64_t need) {
        if (need > 0) {
            count = std::min(count, std::max<std::int64_t>(have, 0) / need);
        }
    };
    limit(free.m_milliCores, perTask.m_milliCores);
    limit(free.m_memoryMb, perTask.m_memoryMb);
    limit(free.m_accelerators, perTask.m_accelerators);
    return static_cast<std::uint32_t>(count);
}

bool isUsable(const Context &context, const WorkerState &worker)
{
    const fleet::BootTime now = context.m_now.m_boot;
    return worker.m_isListed && !worker.m_registration.m_isDraining && now >= worker.m_avoidUntil && worker.m_silences < silencesToAvoid
        && !context.m_zonesOut.contains(worker.m_registration.m_zone);
}

bool mayRun(const Candidate &candidate, const WorkerState &worker)
{
    const std::string &label = candidate.m_spec->m_requiredLabel;
    const workers::Registration &registration = worker.m_registration;
    return registration.m_service == candidate.m_queue->m_service && (label.empty() || label == registration.m_kind || label == registration.m_rack.value());
}

Rooms findRooms(Context &context)
{
    Rooms rooms;
    for (auto &[id, worker] : context.m_state.m_workers) {
        if (isUsable(context, worker)) {
            rooms.push_back({&worker, worker.m_registration.m_capacity - worker.m_booked});
        }
    }
    return rooms;
}

std::uint32_t countOpenRuns(const Candidate &candidate, const WorkerState &worker)
{
    return static_cast<std::uint32_t>(std::count_if(worker.m_runs.begin(), worker.m_runs.end(), [&](const jobs::RunId &run) {
        return run.m_task.m_step == candidate.m_step;
    }));
}

/// Tasks of the candidate that a worker with `free` can take now.
std::uint32_t slotsOn(const Candidate &candidate, const WorkerState &worker, const fleet::Resources &free)
{
    std::uint32_t slots = countFitting(free, candidate.m_perTask);
    if (candidate.m_spec->m_mostPerRunner > 0) {
        const std::uint32_t open = countOpenRuns(candidate, worker);
        slots = std::min<std::uint32_t>(slots, candidate.m_spec->m_mostPerRunner > open ? candidate.m_spec->m_mostPerRunner - open : 0);
    }
    return slots;
}

/// Takes what is reserved for other steps out of the room.
fleet::Resources freeFor(const Context &context, const Candidate &candidate, const Room &room)
{
    fleet::Resources free = room.m_free;
    for (const auto &[step, reservation] : context.m_state.m_reservations) {
        const auto reserved = reservation.m_room.find(room.m_worker->m_registration.m_life.m_worker);
        if (step != candidate.m_step && reserved != reservation.m_room.end()) {
            free = free - reserved->second;
        }
    }
    return free;
}

/// Orders workers so that those that the tasks leave with the least stay in front: whole workers are kept for large tasks.
std::tuple<std::int64_t, std::int64_t, std::int64_t> tightness(const Candidate &candidate, const WorkerState &worker, const fleet::Resources &free)
{
    const bool isAwayFromData = !candidate.m_spec->m_dataRack.empty() && worker.m_registration.m_rack.value() != candidate.m_spec->m_dataRack;
    const std::int64_t penalty = (isAwayFromData ? 1 : 0) + (worker.m_failuresInRow > 0 ? 2 : 0) + (worker.m_registration.m_coldFor.count() > 0 ? 1 : 0);
    return {penalty, free.m_accelerators, free.m_memoryMb};
}

struct Option
{
    Room *m_room = nullptr;
    std::uint32_t m_slots = 0;
    std::tuple<std::int64_t, std::int64_t, std::int64_t> m_order;
};

std::vector<Option> findOptions(const Context &context, const Candidate &candidate, Rooms &rooms)
{
    std::vector<Option> options;
    for (Room &room : rooms) {
        if (!mayRun(candidate, *room.m_worker)) {
            continue;
        }
        const fleet::Resources free = freeFor(context, candidate, room);
        const std::uint32_t slots = slotsOn(candidate, *room.m_worker, free);
        if (slots > 0) {
            options.push_back({&room, slots, tightness(candidate, *room.m_worker, free)});
        }
    }
    std::sort(options.begin(), options.end(), [](const Option &a, const Option &b) {
        return a.m_order < b.m_order;
    });
    return options;
}

struct Choice
{
    std::vector<std::pair<Room *, std::uint32_t>> m_places;
    std::uint32_t m_tasks = 0;
};

Choice fill(const std::vector<Option> &options, std::uint32_t tasks)
{
    Choice choice;
    for (const Option &option : options) {
        if (choice.m_tasks == tasks) {
            break;
        }
        const std::uint32_t here = std::min(option.m_slots, tasks - choice.m_tasks);
        choice.m_places.emplace_back(option.m_room, here);
        choice.m_tasks += here;
    }
    return choice;
}

/// The rack that holds all tasks and has the least room left over.
Choice fillOneRack(const std::vector<Option> &options, std::uint32_t tasks)
{
    std::map<fleet::RackId, std::vector<Option>> racks;
    std::map<fleet::RackId, std::uint32_t> slots;
    for (const Option &option : options) {
        const fleet::RackId &rack = option.m_room->m_worker->m_registration.m_rack;
        racks[rack].push_back(option);
        slots[rack] += option.m_slots;
    }
    const std::vector<Option> *best = nullptr;
    std::uint32_t fewest = std::numeric_limits<std::uint32_t>::max();
    for (const auto &[rack, rackOptions] : racks) {
        if (slots[rack] >= tasks && slots[rack] < fewest) {
            best = &rackOptions;
            fewest = slots[rack];
        }
    }
    return best == nullptr ? Choice() : fill(*best, tasks);
}

std::uint32_t nextRun(const journal::JobRecord &job, const Candidate &candidate)
{
    const journal::StepRecord *record = journal::findStep(job, candidate.m_step);
    std::uint32_t highest = 0;
    if (record != nullptr) {
        for (const journal::TaskRecord &task : record->m_tasks) {
            highest = std::max(highest, task.m_lastRun);
        }
    }
    return highest + 1;
}

void start(Context &context, const Candidate &candidate, const Choice &choice)
{
    const journal::JobRecord &job = context.m_ledger.m_jobs.at(candidate.m_step.m_job);
    const std::uint32_t run = nextRun(job, candidate);
    std::size_t next = 0;
    for (const auto &[room, tasks] : choice.m_places) {
        for (std::uint32_t i = 0; i < tasks; ++i) {
            launch(context, {{candidate.m_step, candidate.m_tasks[next++]}, run}, room->m_worker->m_registration.m_life, {});
            room->m_free = room->m_free - candidate.m_perTask;
        }
    }
    context.m_state.m_reservations.erase(candidate.m_step);
    context.m_out.m_log.push_back("launch job=" + toString(candidate.m_step.m_job) + " occurrence=" + std::to_string(candidate.m_step.m_occurrence)
                                  + " step=" + std::to_string(candidate.m_step.m_step) + " run=" + std::to_string(run) + " tasks=" + std::to_string(next));
}

bool isAllOrNothing(const Candidate &candidate)
{
    return candidate.m_spec->m_isGang;
}

/// A run that may be stopped for the candidate.
bool isVictim(const Candidate &candidate, const RunState &run)
{
    return run.m_priority > candidate.m_queue->m_priority && !run.m_stopWanted;
}

const jobs::StepSpec &stepOf(const Context &context, const jobs::StepId &step)
{
    return context.m_ledger.m_jobs.at(step.m_job).m_spec.m_steps[step.m_step];
}

/// Work that stopping the run would lose, in core-milliseconds.
std::int64_t lossOf(const Context &context, const jobs::RunId &id, const RunState &run)
{
    const fleet::Duration ran = run.m_phase == RunPhase::Running ? context.m_now.m_boot - run.m_startedAt : fleet::Duration(0);
    const bool isSaved = stepOf(context, id.m_task.m_step).m_writesCheckpoints;
    const fleet::Duration lost = (isSaved ? std::min(ran, restoreTime) : ran) + startOverhead;
    return lost.count() * (run.m_booked.m_milliCores / millisPerCore + run.m_booked.m_accelerators * coresPerAccelerator + 1);
}

/// Stopping one member of a gang loses the work of all.
std::int64_t lossWithGang(const Context &context, const jobs::RunId &id, const RunState &run)
{
    const jobs::StepId &step = id.m_task.m_step;
    if (!stepOf(context, step).m_isGang) {
        return lossOf(context, id, run);
    }
    std::int64_t loss = 0;
    const auto first = context.m_state.m_runs.lower_bound({{step, 0}, 0});
    for (auto member = first; member != context.m_state.m_runs.end() && member->first.m_task.m_step == step; ++member) {
        loss += lossOf(context, member->first, member->second);
    }
    return loss;
}

/// A run that could be stopped, with what that would lose.
struct Victim
{
    jobs::RunId m_run;
    const RunState *m_state = nullptr;
    std::int64_t m_loss = 0;
};

struct Eviction
{
    Room *m_room = nullptr;
    std::vector<jobs::RunId> m_victims;
    std::uint32_t m_slots = 0;
    std::int64_t m_loss = 0;
};

/// Makes room on one worker for as many tasks as are wanted, with the runs of the lowest priority and the least loss first.
Eviction planEviction(const Context &context, const Candidate &candidate, Room &room, std::uint32_t wanted)
{
    Eviction eviction {&room, {}, 0, 0};
    fleet::Resources free = freeFor(context, candidate, room);
    // What is being stopped already will be free soon.
    std::vector<Victim> victims;
    for (const jobs::RunId &id : room.m_worker->m_runs) {
        const RunState &run = context.m_state.m_runs.at(id);
        if (run.m_stopWanted) {
            free = free + run.m_booked;
        } else if (isVictim(candidate, run)) {
            victims.push_back({id, &run, lossWithGang(context, id, run)});
        }
    }
    std::sort(victims.begin(), victims.end(), [](const Victim &a, const Victim &b) {
        return a.m_loss < b.m_loss;
    });
    eviction.m_slots = slotsOn(candidate, *room.m_worker, free);
    std::set<jobs::StepId> gangs;
    for (const Victim &victim : victims) {
        if (eviction.m_slots >= wanted) {
            break;
        }
        const jobs::StepId &step = victim.m_run.m_task.m_step;
        const bool isCounted = stepOf(context, step).m_isGang && !gangs.insert(step).second;
        free = free + victim.m_state->m_booked;
        eviction.m_victims.push_back(victim.m_run);
        eviction.m_loss += isCounted ? 0 : victim.m_loss;
        eviction.m_slots = slotsOn(candidate, *room.m_worker, free);
    }
    return eviction;
}

std::vector<Eviction> planEvictions(const Context &context, const Candidate &candidate, Rooms &rooms, std::uint32_t wanted)
{
    std::vector<Eviction> evictions;
    for (Room &room : rooms) {
        if (mayRun(candidate, *room.m_worker)) {
            Eviction eviction = planEviction(context, candidate, room, wanted);
            if (eviction.m_slots > 0) {
                evictions.push_back(std::move(eviction));
            }
        }
    }
    std::sort(evictions.begin(), evictions.end(), [](const Eviction &a, const Eviction &b) {
        return a.m_loss * b.m_slots < b.m_loss * a.m_slots;
    });
    return evictions;
}

std::vector<Eviction> cheapest(const std::vector<Eviction> &evictions, std::uint32_t wanted)
{
    std::vector<Eviction> chosen;
    std::uint32_t slots = 0;
    for (const Eviction &eviction : evictions) {
        if (slots >= wanted) {
            break;
        }
        chosen.push_back(eviction);
        slots += eviction.m_slots;
    }
    return slots >= wanted ? chosen : std::vector<Eviction>();
}

std::vector<Eviction> cheapestInOneRack(const std::vector<Eviction> &evictions, std::uint32_t wanted)
{
    std::map<fleet::RackId, std::vector<Eviction>> racks;
    for (const Eviction &eviction : evictions) {
        racks[eviction.m_room->m_worker->m_registration.m_rack].push_back(eviction);
    }
    std::vector<Eviction> best;
    std::int64_t least = std::numeric_limits<std::int64_t>::max();
    for (const auto &[rack, rackEvictions] : racks) {
        std::vector<Eviction> chosen = cheapest(rackEvictions, wanted);
        std::int64_t loss = 0;
        for (const Eviction &eviction : chosen) {
            loss += eviction.m_loss;
        }
        if (!chosen.empty() && loss < least) {
            least = loss;
            best = std::move(chosen);
        }
    }
    return best;
}

void makeRoom(Context &context, const Candidate &candidate, Rooms &rooms)
{
    const auto wanted = static_cast<std::uint32_t>(candidate.m_tasks.size());
    const std::vector<Eviction> evictions = planEvictions(context, candidate, rooms, wanted);
    std::vector<Eviction> chosen = candidate.m_spec->m_wantsOneRack ? cheapestInOneRack(evictions, wanted) : cheapest(evictions, wanted);
    if (chosen.empty()) {
        return;
    }
    Reservation reservation;
    reservation.m_until = context.m_now.m_boot + reservationTime;
    std::uint32_t left = wanted;
    for (const Eviction &eviction : chosen) {
        const std::uint32_t here = std::min(left, eviction.m_slots);
        left -= here;
        reservation.m_room[eviction.m_room->m_worker->m_registration.m_life.m_worker] = candidate.m_perTask * here;
        for (const jobs::RunId &victim : eviction.m_victims) {
            wantStop(context, victim, "room-for-" + toString(candidate.m_step.m_job));
        }
    }
    context.m_state.m_reservations[candidate.m_step] = std::move(reservation);
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
    const auto tasks = static_cast<std::uint32_t>(candidate.m_tasks.size());
    const std::vector<Option> options = findOptions(context, candidate, rooms);
    const bool wantsOneRack = candidate.m_spec->m_wantsOneRack && isAllOrNothing(candidate);
    const Choice choice = wantsOneRack ? fillOneRack(options, tasks) : fill(options, tasks);
    if (choice.m_tasks == tasks || (!isAllOrNothing(candidate) && choice.m_tasks > 0)) {
        start(context, candidate, choice);
        candidate.m_tasks.erase(candidate.m_tasks.begin(), candidate.m_tasks.begin() + choice.m_tasks);
    }
    const bool mayEvict = candidate.m_queue->m_priority == 0;
    if (!candidate.m_tasks.empty() && mayEvict && !context.m_state.m_reservations.contains(candidate.m_step)) {
        makeRoom(context, candidate, rooms);
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
