#include "components/dispatch/evictions.hpp"

#include "components/dispatch/candidate.hpp"
#include "components/dispatch/context.hpp"
#include "components/dispatch/rooms.hpp"
#include "components/dispatch/victim.hpp"

#include <algorithm>
#include <limits>
#include <map>
#include <set>

namespace dispatch
{

namespace
{

/// What one accelerator counts for in lost work, in cores; from the users' price of wasted work.
constexpr std::int64_t coresPerAccelerator = 8;
constexpr std::int64_t millisPerCore = 1000;
/// A run that goes on from a checkpoint loses about this much; a run that starts anew loses its start besides.
constexpr fleet::Duration restoreTime {600};
constexpr fleet::Duration startOverhead {50};

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

/// Losses of gangs that were worked out already.
using GangLosses = std::map<jobs::StepId, std::int64_t>;

/// Stopping one member of a gang loses the work of all.
std::int64_t lossWithGang(const Context &context, const jobs::RunId &id, const RunState &run, GangLosses &known)
{
    const jobs::StepId &step = id.m_task.m_step;
    if (!stepOf(context, step).m_isGang) {
        return lossOf(context, id, run);
    }
    const auto [entry, isNew] = known.try_emplace(step, 0);
    if (!isNew) {
        return entry->second;
    }
    std::int64_t &loss = entry->second;
    const auto first = context.m_state.m_runs.lower_bound({{step, 0}, 0});
    for (auto member = first; member != context.m_state.m_runs.end() && member->first.m_task.m_step == step; ++member) {
        loss += lossOf(context, member->first, member->second);
    }
    return loss;
}

/// Makes room on one worker for as many tasks as are wanted, with the runs of the lowest priority and the least loss first.
Eviction planEviction(const Context &context, const Candidate &candidate, Room &room, std::uint32_t wanted, GangLosses &known)
{
    Eviction eviction {&room, {}, 0, 0};
    fleet::Resources free = freeFor(candidate, room);
    // What is being stopped already will be free soon.
    std::vector<Victim> victims;
    for (const jobs::RunId &id : room.m_worker->m_runs) {
        const RunState &run = context.m_state.m_runs.at(id);
        if (run.m_stopWanted) {
            free = free + run.m_booked;
        } else if (isVictim(candidate, run)) {
            victims.push_back({id, &run, lossWithGang(context, id, run, known)});
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

/// Takes workers in order until there is room for all tasks; no more is stopped on the last than is needed.
template<class Replan>
std::vector<Eviction> takeInOrder(const std::vector<Eviction> &evictions, std::uint32_t wanted, Replan replan)
{
    std::vector<Eviction> chosen;
    std::uint32_t left = wanted;
    for (const Eviction &eviction : evictions) {
        if (left == 0) {
            break;
        }
        chosen.push_back(eviction.m_slots > left ? replan(*eviction.m_room, left) : eviction);
        chosen.back().m_slots = std::min(chosen.back().m_slots, left);
        left -= chosen.back().m_slots;
    }
    return left == 0 ? chosen : std::vector<Eviction>();
}

template<class Replan>
std::vector<Eviction> takeInOneRack(const std::vector<Eviction> &evictions, std::uint32_t wanted, Replan replan)
{
    std::map<fleet::RackId, std::vector<Eviction>> racks;
    for (const Eviction &eviction : evictions) {
        racks[eviction.m_room->m_worker->m_registration.m_rack].push_back(eviction);
    }
    std::vector<Eviction> best;
    std::int64_t least = std::numeric_limits<std::int64_t>::max();
    for (const auto &[rack, rackEvictions] : racks) {
        std::vector<Eviction> chosen = takeInOrder(rackEvictions, wanted, replan);
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

/// Plans each worker and takes the cheapest for all tasks.
template<class Replan>
std::vector<Eviction> choose(const Candidate &candidate, Rooms &rooms, Replan replan)
{
    const auto wanted = static_cast<std::uint32_t>(candidate.m_tasks.size());
    std::vector<Eviction> evictions;
    for (Room &room : rooms) {
        if (mayRun(candidate, *room.m_worker)) {
            Eviction eviction = replan(room, wanted);
            if (eviction.m_slots > 0) {
                evictions.push_back(std::move(eviction));
            }
        }
    }
    std::sort(evictions.begin(), evictions.end(), [](const Eviction &a, const Eviction &b) {
        return a.m_loss * b.m_slots < b.m_loss * a.m_slots;
    });
    const bool wantsOneRack = candidate.m_spec->m_isGang && candidate.m_spec->m_wantsOneRack;
    return wantsOneRack ? takeInOneRack(evictions, wanted, replan) : takeInOrder(evictions, wanted, replan);
}

}

std::vector<Eviction> chooseEvictions(const Context &context, const Candidate &candidate, Rooms &rooms)
{
    GangLosses known;
    return choose(candidate, rooms, [&](Room &room, std::uint32_t wanted) {
        return planEviction(context, candidate, room, wanted, known);
    });
}

}
