#include "components/dispatch/evictions.hpp"

#include "components/dispatch/available_workers.hpp"
#include "components/dispatch/candidate.hpp"
#include "components/dispatch/context.hpp"
#include "components/dispatch/disruption_budget.hpp"
#include "components/dispatch/guarantees.hpp"
#include "components/dispatch/runs.hpp"
#include "components/dispatch/victim.hpp"

#include <algorithm>
#include <limits>
#include <map>
#include <set>
#include <tuple>

namespace dispatch
{

namespace
{

/// Weight of an accelerator in lost work, in cores; from the users' price of wasted work.
constexpr std::int64_t coresPerAccelerator = 8;
constexpr std::int64_t millisPerCore = 1000;
/// Every run that starts again loses this time, and a run that resumes from a checkpoint the restore time as well.
constexpr fleet::Duration startOverhead {50};
/// A step that failed prefers workers with a healthy start within this time.
constexpr fleet::Duration healthyStartAge {2000};

/// Intermediate results for one candidate: lost work by gang, and the use of accelerators by account.
struct EvictionCache
{
    std::map<jobs::StepId, std::int64_t> m_gangLosses;
    UrgentUse m_use;
};

bool useDisruptionBudgets(const Context &context, const Eviction &eviction, UnavailableTasks &unavailable)
{
    UnavailableTasks tried = unavailable;
    const bool areAllGranted = std::all_of(eviction.m_victims.begin(), eviction.m_victims.end(), [&](const jobs::RunId &victim) {
        return useDisruptionBudget(context, victim, tried);
    });
    if (areAllGranted) {
        unavailable = std::move(tried);
    }
    return areAllGranted;
}

/// Returns how much of the time that the run has worked would be lost if it were stopped.
fleet::Duration lostTime(const Context &context, const jobs::RunId &id, const RunState &run)
{
    const fleet::Duration ran = ranFor(run, context.m_now.m_boot);
    const bool isSaved = stepOf(context, id.m_task.m_step).m_writesCheckpoints;
    return (isSaved ? std::min(ran, context.m_state.m_settings.m_restoreTime) : ran) + startOverhead;
}

/// True if the run may be stopped for the candidate. Capacity that an account borrows beyond its guarantee is reclaimed for a
/// guaranteed candidate only after it has waited, since urgent jobs are short and often end by themselves.
bool isVictim(const Context &context, const Candidate &candidate, const jobs::RunId &id, const RunState &run, const EvictionCache &cache)
{
    if (run.m_isStopRequested) {
        return false;
    }
    if (run.m_priority > candidate.m_queue->m_priority) {
        return candidate.m_acceptableLoss && lostTime(context, id, run) <= *candidate.m_acceptableLoss;
    }
    return candidate.m_mayReclaim && run.m_account != candidate.m_account && isBorrowed(context, cache.m_use, run);
}

/// Returns the work that stopping the run would lose, in core-milliseconds.
std::int64_t lostWork(const Context &context, const jobs::RunId &id, const RunState &run)
{
    return lostTime(context, id, run).count() * (run.m_allocated.m_milliCores / millisPerCore + run.m_allocated.m_accelerators * coresPerAccelerator + 1);
}

/// Returns the work that stopping the run would lose. Stopping one member of a gang loses the work of all members.
std::int64_t lostWorkWithGang(const Context &context, const jobs::RunId &id, const RunState &run, EvictionCache &cache)
{
    const jobs::StepId &step = id.m_task.m_step;
    if (!stepOf(context, step).m_isGang) {
        return lostWork(context, id, run);
    }
    const auto [entry, isNew] = cache.m_gangLosses.try_emplace(step, 0);
    if (!isNew) {
        return entry->second;
    }
    std::int64_t &loss = entry->second;
    const auto first = context.m_state.m_runs.lower_bound({{step, 0}, 0});
    for (auto member = first; member != context.m_state.m_runs.end() && member->first.m_task.m_step == step; ++member) {
        loss += lostWork(context, member->first, member->second);
    }
    return loss;
}

/// Plans which runs to stop on one worker so that up to `wanted` tasks fit: runs of priority 0 last, otherwise those with the
/// least lost work first.
Eviction planEviction(const Context &context, const Candidate &candidate, AvailableWorker &available, std::uint32_t wanted, EvictionCache &cache)
{
    Eviction eviction {&available, {}, 0, 0};
    fleet::Resources free = freeResourcesFor(candidate, available);
    // Runs that are being stopped already will be gone soon.
    std::vector<Victim> victims;
    UnavailableTasks unavailable;
    for (const jobs::RunId &id : available.m_state->m_runs) {
        const RunState &run = context.m_state.m_runs.at(id);
        if (run.m_isStopRequested) {
            free = free + run.m_allocated;
        } else if (isVictim(context, candidate, id, run, cache) && useDisruptionBudget(context, id, unavailable)) {
            victims.push_back({id, &run, lostWorkWithGang(context, id, run, cache)});
        }
    }
    std::sort(victims.begin(), victims.end(), [](const Victim &a, const Victim &b) {
        const bool isUrgentA = a.m_state->m_priority == 0;
        const bool isUrgentB = b.m_state->m_priority == 0;
        return std::tie(isUrgentA, a.m_loss) < std::tie(isUrgentB, b.m_loss);
    });
    eviction.m_slots = countSlots(candidate, available, free);
    std::set<jobs::StepId> gangs;
    for (const Victim &victim : victims) {
        if (eviction.m_slots >= wanted) {
            break;
        }
        const jobs::StepId &step = victim.m_run.m_task.m_step;
        const bool isCounted = stepOf(context, step).m_isGang && !gangs.insert(step).second;
        free = free + victim.m_state->m_allocated;
        eviction.m_victims.push_back(victim.m_run);
        eviction.m_loss += isCounted ? 0 : victim.m_loss;
        eviction.m_slots = countSlots(candidate, available, free);
    }
    return eviction;
}

/// Chooses workers in order until all tasks fit. Stops no more runs on the last worker than needed.
template<class Replan>
std::vector<Eviction> chooseInOrder(const Context &context, const std::vector<Eviction> &evictions, std::uint32_t wanted, Replan replan)
{
    std::vector<Eviction> chosen;
    UnavailableTasks unavailable;
    std::uint32_t left = wanted;
    for (const Eviction &eviction : evictions) {
        if (left == 0) {
            break;
        }
        Eviction fitting = eviction.m_slots > left ? replan(*eviction.m_worker, left) : eviction;
        if (!useDisruptionBudgets(context, fitting, unavailable)) {
            continue;
        }
        chosen.push_back(std::move(fitting));
        chosen.back().m_slots = std::min(chosen.back().m_slots, left);
        left -= chosen.back().m_slots;
    }
    return left == 0 ? chosen : std::vector<Eviction>();
}

template<class Replan>
std::vector<Eviction> chooseInOneRack(const Context &context, const std::vector<Eviction> &evictions, std::uint32_t wanted, Replan replan)
{
    std::map<fleet::RackId, std::vector<Eviction>> racks;
    for (const Eviction &eviction : evictions) {
        racks[eviction.m_worker->m_state->m_registration.m_rack].push_back(eviction);
    }
    std::vector<Eviction> best;
    std::int64_t least = std::numeric_limits<std::int64_t>::max();
    for (const auto &[rack, rackEvictions] : racks) {
        std::vector<Eviction> chosen = chooseInOrder(context, rackEvictions, wanted, replan);
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

/// Plans evictions on each worker and chooses those with the least lost work per task until all tasks fit.
template<class Replan>
std::vector<Eviction> choose(const Context &context, const Candidate &candidate, AvailableWorkers &availableWorkers, Replan replan)
{
    const auto wanted = static_cast<std::uint32_t>(candidate.m_tasks.size());
    std::vector<Eviction> evictions;
    for (AvailableWorker &available : availableWorkers) {
        if (mayRun(candidate, *available.m_state, context.m_now.m_boot)) {
            Eviction eviction = replan(available, wanted);
            if (eviction.m_slots > 0) {
                evictions.push_back(std::move(eviction));
            }
        }
    }
    // A stop on a slow worker is in vain if the candidate misses its objective there.
    const auto isInVain = [&](const Eviction &eviction) {
        return candidate.m_speedPreference == SpeedPreference::Fastest && eviction.m_worker->m_speedClass > unknownSpeedClass;
    };
    std::sort(evictions.begin(), evictions.end(), [&](const Eviction &a, const Eviction &b) {
        if (isInVain(a) != isInVain(b)) {
            return isInVain(b);
        }
        return a.m_loss * b.m_slots < b.m_loss * a.m_slots;
    });
    return candidate.m_requiresOneRack ? chooseInOneRack(context, evictions, wanted, replan) : chooseInOrder(context, evictions, wanted, replan);
}

}

std::vector<Eviction> chooseEvictions(const Context &context, const Candidate &candidate, AvailableWorkers &availableWorkers)
{
    EvictionCache cache;
    if (candidate.m_mayReclaim) {
        cache.m_use = measureUse(context);
    }
    const auto planOn = [&](AvailableWorker &available, std::uint32_t wanted) {
        return planEviction(context, candidate, available, wanted, cache);
    };
    if (candidate.m_hasFailed) {
        std::vector<Eviction> chosen = choose(context, candidate, availableWorkers, [&](AvailableWorker &available, std::uint32_t wanted) {
            const bool hasHealthyStart = context.m_now.m_boot - available.m_state->m_lastHealthyStartAt <= healthyStartAge;
            return hasHealthyStart ? planOn(available, wanted) : Eviction {&available, {}, 0, 0};
        });
        if (!chosen.empty()) {
            return chosen;
        }
    }
    return choose(context, candidate, availableWorkers, planOn);
}

std::vector<jobs::RunId> chooseStopsInOwnAccount(const Context &context, const Candidate &candidate, const fleet::Resources &needed)
{
    EvictionCache cache;
    UnavailableTasks unavailable;
    std::vector<Victim> victims;
    fleet::Resources freed;
    for (const auto &[id, run] : context.m_state.m_runs) {
        if (run.m_account != candidate.m_account) {
            continue;
        }
        if (run.m_isStopRequested) {
            freed = freed + run.m_requested;
        } else if (run.m_priority > candidate.m_queue->m_priority && useDisruptionBudget(context, id, unavailable)) {
            victims.push_back({id, &run, lostWorkWithGang(context, id, run, cache)});
        }
    }
    std::sort(victims.begin(), victims.end(), [](const Victim &a, const Victim &b) {
        return a.m_loss < b.m_loss;
    });
    std::vector<jobs::RunId> chosen;
    for (const Victim &victim : victims) {
        if (needed.fitsIn(freed)) {
            break;
        }
        freed = freed + victim.m_state->m_requested;
        chosen.push_back(victim.m_run);
    }
    return needed.fitsIn(freed) ? chosen : std::vector<jobs::RunId>();
}

}
