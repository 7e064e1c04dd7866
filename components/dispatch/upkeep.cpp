#include "components/dispatch/upkeep.hpp"

#include "components/catalog/upkeep_wave.hpp"
#include "components/dispatch/context.hpp"
#include "components/dispatch/disruption_budget.hpp"
#include "components/dispatch/runs.hpp"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

namespace dispatch
{

namespace
{

/// Delay after an upkeep order or a report that failed.
constexpr fleet::Duration retryDelay {400};
/// Time from the end of an upkeep until the machine's next worker is listed.
constexpr fleet::Duration relistTime {2000};
/// A machine whose worker is not back this long after it was expected is no longer waited for.
constexpr fleet::Duration maxDelayAfterUpkeep {11'000};
/// Maximum time that runs on a draining machine may take to end by themselves; less if the wave's time is short.
constexpr fleet::Duration maxDrainTime {6000};
/// Divisor of the wave's time: a quarter of it is reserved for orders without an answer.
constexpr int reserveDivisor = 4;

/// Returns the time from the start of an upkeep until the machine's next worker should be listed.
fleet::Duration expectedDowntime(const Context &context)
{
    return context.m_state.m_settings.m_upkeepTime + relistTime;
}

/// Returns the worker of the machine. An entry of another writer may name the machine as well, under another id: the worker that has
/// runs comes first, then one that answers, so that a machine with runs never counts as empty. Neither does one whose worker has runs
/// although its entry has expired, as after an outage of the store.
WorkerState *workerOf(Context &context, const fleet::MachineId &machine)
{
    const auto rank = [](const WorkerState &worker) {
        return std::pair(!worker.m_runs.empty(), worker.m_unansweredCalls == 0);
    };
    WorkerState *found = nullptr;
    for (auto &[id, worker] : context.m_state.m_workers) {
        const bool isOfMachine = (worker.m_isListed || !worker.m_runs.empty()) && worker.m_registration.m_machine == machine;
        if (isOfMachine && (found == nullptr || rank(worker) > rank(*found))) {
            found = &worker;
        }
    }
    return found;
}

/// Sets whether new runs may start on the machine, under whatever id.
void setCordoned(Context &context, const fleet::MachineId &machine, bool isCordoned)
{
    for (auto &[id, worker] : context.m_state.m_workers) {
        if (worker.m_isListed && worker.m_registration.m_machine == machine) {
            worker.m_isCordoned = isCordoned;
        }
    }
}

bool isInProgress(const MachineUpkeep &upkeep)
{
    return upkeep.m_phase != UpkeepPhase::Waiting && upkeep.m_phase != UpkeepPhase::Over;
}

/// True if runs were taken over from another holder whose worker has not been listed since, so that nobody knows on which machine they are.
bool hasRunsOnUnknownMachines(const Context &context)
{
    return std::any_of(context.m_state.m_workers.begin(), context.m_state.m_workers.end(), [](const auto &entry) {
        return !entry.second.m_isListed && !entry.second.m_runs.empty() && entry.second.m_registration.m_address.empty();
    });
}

template<class Condition>
std::uint32_t countMachines(const WaveState &wave, Condition condition)
{
    return static_cast<std::uint32_t>(std::count_if(wave.m_machines.begin(), wave.m_machines.end(), [&](const auto &entry) {
        return condition(entry.second);
    }));
}

/// Adds the machines of a wave that are not known yet. An earlier holder may have ordered some of them down, and its orders may still be
/// under way. They are ordered again: that does nothing if the upkeep has begun, and has the platform refuse the earlier orders.
void addMachines(Context &context, const catalog::UpkeepWave &wave, WaveState &state)
{
    const auto ordered = context.m_journalState.m_upkeeps.find(wave.m_number);
    for (const fleet::MachineId &machine : wave.m_machines) {
        const auto [entry, isNew] = state.m_machines.try_emplace(machine);
        if (isNew && ordered != context.m_journalState.m_upkeeps.end() && ordered->second.contains(machine)) {
            entry->second.m_phase = UpkeepPhase::Ordered;
            entry->second.m_mayHaveBegun = true;
        }
    }
}

/// Returns how long runs on the next machines may continue before they are stopped.
fleet::Duration drainTimeFor(const Context &context, const catalog::UpkeepWave &wave, const WaveState &state)
{
    const std::uint32_t waiting = countMachines(state, [](const MachineUpkeep &upkeep) {
        return upkeep.m_phase == UpkeepPhase::Waiting;
    });
    const std::uint32_t rounds = (waiting + wave.m_maxConcurrent - 1) / std::max(wave.m_maxConcurrent, 1U);
    const fleet::Duration left = wave.m_duration - wave.m_duration / reserveDivisor - (context.m_now.m_boot - wave.m_firstSeenAt);
    const fleet::Duration each = left / std::max(rounds, 1U) - expectedDowntime(context);
    return std::clamp(each, fleet::Duration(0), maxDrainTime);
}

/// Returns the waiting machines, those with the fewest runs first.
std::vector<fleet::MachineId> waitingMachines(Context &context, const WaveState &state)
{
    std::vector<std::pair<std::size_t, fleet::MachineId>> waiting;
    for (const auto &[machine, upkeep] : state.m_machines) {
        if (upkeep.m_phase == UpkeepPhase::Waiting) {
            const WorkerState *worker = workerOf(context, machine);
            waiting.emplace_back(worker == nullptr ? 0 : worker->m_runs.size(), machine);
        }
    }
    std::sort(waiting.begin(), waiting.end());
    std::vector<fleet::MachineId> sorted;
    sorted.reserve(waiting.size());
    for (auto &[runs, machine] : waiting) {
        sorted.push_back(std::move(machine));
    }
    return sorted;
}

void startDraining(Context &context, const catalog::UpkeepWave &wave, WaveState &state)
{
    const fleet::Duration drainTime = drainTimeFor(context, wave, state);
    for (const fleet::MachineId &machine : waitingMachines(context, state)) {
        if (countMachines(state, isInProgress) >= wave.m_maxConcurrent) {
            return;
        }
        MachineUpkeep &upkeep = state.m_machines.at(machine);
        upkeep.m_phase = UpkeepPhase::Draining;
        upkeep.m_since = context.m_now.m_boot;
        upkeep.m_stopAt = context.m_now.m_boot + drainTime;
        context.m_out.m_log.push_back(logging::Line("upkeep", "machine-chosen")
                                          .add("wave", wave.m_number)
                                          .add("machine", machine.value())
                                          .add("patience_ms", drainTime)
                                          .add("most_at_once", wave.m_maxConcurrent));
    }
}

/// Stops runs on the machine once its drain time is over, within the disruption budgets. Returns true if no run is left.
bool drain(Context &context, const MachineUpkeep &upkeep, WorkerState *worker, UnavailableTasks &unavailable)
{
    if (worker == nullptr) {
        return !hasRunsOnUnknownMachines(context);
    }
    if (worker->m_runs.empty()) {
        return true;
    }
    if (context.m_now.m_boot >= upkeep.m_stopAt) {
        const std::set<jobs::RunId> runs = worker->m_runs;
        for (const jobs::RunId &run : runs) {
            if (!context.m_state.m_runs.at(run).m_isStopRequested && useDisruptionBudget(context, run, unavailable)) {
                requestStop(context, run, "upkeep");
            }
        }
    }
    return worker->m_runs.empty();
}

void recordUpkeep(Context &context, std::uint64_t wave, const fleet::MachineId &machine, MachineUpkeep &upkeep)
{
    upkeep.m_phase = UpkeepPhase::Recording;
    context.m_journalState.m_upkeeps[wave].insert(machine);
    context.m_orderedUpkeeps.push_back({wave, machine});
}

void sendUpkeepOrder(Context &context, std::uint64_t wave, const fleet::MachineId &machine, MachineUpkeep &upkeep)
{
    const WorkerState *worker = workerOf(context, machine);
    // A worker may restart before an order is accepted, so only the latest order counts.
    upkeep.m_previousStartMs = worker == nullptr ? 0 : worker->m_registration.m_incarnation.m_startedAtMs;
    upkeep.m_isOrderOpen = true;
    context.m_out.m_upkeeps.push_back({wave, machine, {}, context.m_state.m_token});
}

/// True if the worker has answered a poll that was sent after the order was accepted, so that the machine is not down.
bool hasAnsweredSince(const WorkerState &worker, fleet::BootTime accepted)
{
    return worker.m_pollSentAt >= accepted && worker.m_lastAnswerAt > worker.m_pollSentAt;
}

/// True if the upkeep is over. It takes its full time, so a newer worker that is listed before has restarted shortly before the upkeep.
bool isBack(const Context &context, const MachineUpkeep &upkeep, const WorkerState *worker)
{
    const fleet::Duration down = context.m_now.m_boot - upkeep.m_since;
    if (down >= expectedDowntime(context) + maxDelayAfterUpkeep) {
        return true;
    }
    if (worker == nullptr) {
        return false;
    }
    if (upkeep.m_mayHaveBegun) {
        return hasAnsweredSince(*worker, upkeep.m_since) || down >= expectedDowntime(context);
    }
    return down >= context.m_state.m_settings.m_upkeepTime && worker->m_registration.m_incarnation.m_startedAtMs > upkeep.m_previousStartMs;
}

void advanceMachine(Context &context, std::uint64_t wave, const fleet::MachineId &machine, MachineUpkeep &upkeep, UnavailableTasks &unavailable)
{
    WorkerState *worker = workerOf(context, machine);
    setCordoned(context, machine, isInProgress(upkeep));
    const bool isDue = !upkeep.m_isOrderOpen && context.m_now.m_boot >= upkeep.m_nextOrderAt;
    const bool isDrained = upkeep.m_phase == UpkeepPhase::Draining && drain(context, upkeep, worker, unavailable);
    if (isDrained) {
        recordUpkeep(context, wave, machine, upkeep);
    } else if (upkeep.m_phase == UpkeepPhase::Ordered && isDue) {
        sendUpkeepOrder(context, wave, machine, upkeep);
    } else if (upkeep.m_phase == UpkeepPhase::Down && isBack(context, upkeep, worker)) {
        upkeep.m_phase = UpkeepPhase::Over;
        context.m_state.m_planIsDue = true;
        setCordoned(context, machine, false);
    }
}

void report(Context &context, const catalog::UpkeepWave &wave, WaveState &state)
{
    const std::uint32_t left = countMachines(state, [](const MachineUpkeep &upkeep) {
        return upkeep.m_phase != UpkeepPhase::Down && upkeep.m_phase != UpkeepPhase::Over;
    });
    const machines::WaveReport current {wave.m_number, left == 0};
    if (state.m_reported == current || state.m_isReportOpen || context.m_now.m_boot < state.m_nextReportAt) {
        return;
    }
    state.m_isReportOpen = true;
    context.m_out.m_reports.push_back(current);
}

}

void cordonMachines(Context &context)
{
    for (const auto &[key, wave] : context.m_waves) {
        WaveState &state = context.m_state.m_waves[wave.m_number];
        addMachines(context, wave, state);
        for (const auto &[machine, upkeep] : state.m_machines) {
            setCordoned(context, machine, isInProgress(upkeep));
        }
    }
}

void advanceWaves(Context &context)
{
    // An order of the previous holder may still be on its way to a machine.
    if (context.m_now.m_boot < context.m_state.m_upkeepNotBefore || !context.m_state.m_firstListAt) {
        return;
    }
    std::erase_if(context.m_state.m_waves, [&](const auto &entry) {
        return std::none_of(context.m_waves.begin(), context.m_waves.end(), [&](const auto &wave) {
            return wave.second.m_number == entry.first;
        });
    });
    UnavailableTasks unavailable;
    for (const auto &[key, wave] : context.m_waves) {
        WaveState &state = context.m_state.m_waves[wave.m_number];
        addMachines(context, wave, state);
        startDraining(context, wave, state);
        for (auto &[machine, upkeep] : state.m_machines) {
            advanceMachine(context, wave.m_number, machine, upkeep, unavailable);
        }
        report(context, wave, state);
    }
}

void applyUpkeepResult(Context &context, const machines::UpkeepOrder &order, machines::UpkeepOutcome outcome)
{
    const auto wave = context.m_state.m_waves.find(order.m_wave);
    const auto found = wave == context.m_state.m_waves.end() ? decltype(wave->second.m_machines.begin()) {} : wave->second.m_machines.find(order.m_machine);
    if (wave == context.m_state.m_waves.end() || found == wave->second.m_machines.end()) {
        return;
    }
    MachineUpkeep &upkeep = found->second;
    upkeep.m_isOrderOpen = false;
    upkeep.m_nextOrderAt = context.m_now.m_boot + retryDelay;
    context.m_out.m_log.push_back(logging::Line("upkeep", "ordered")
                                      .add("wave", order.m_wave)
                                      .add("machine", order.m_machine.value())
                                      .add("outcome", static_cast<int>(outcome))
                                      .add("token", order.m_token.m_value));
    switch (outcome) {
    case machines::UpkeepOutcome::Begun:
        upkeep.m_phase = UpkeepPhase::Down;
        upkeep.m_since = context.m_now.m_boot;
        if (WorkerState *worker = workerOf(context, order.m_machine)) {
            // If an earlier order has begun the upkeep, the machine may be back already, which its answer shows.
            worker->m_isProbeDue = worker->m_isProbeDue || upkeep.m_mayHaveBegun;
        }
        break;
    case machines::UpkeepOutcome::Fenced:
        context.m_out.m_isFenced = true;
        break;
    case machines::UpkeepOutcome::NotInWave:
        upkeep.m_phase = UpkeepPhase::Over;
        break;
    case machines::UpkeepOutcome::Unknown:
        upkeep.m_mayHaveBegun = true;
        break;
    case machines::UpkeepOutcome::Busy:
    case machines::UpkeepOutcome::Refused:
        // The order is sent again; until then the machine counts as down.
        break;
    }
}

void recordUpkeepStored(State &state, const journal::UpkeepOrdered &stored)
{
    const auto wave = state.m_waves.find(stored.m_wave);
    if (wave == state.m_waves.end()) {
        return;
    }
    const auto machine = wave->second.m_machines.find(stored.m_machine);
    if (machine != wave->second.m_machines.end() && machine->second.m_phase == UpkeepPhase::Recording) {
        machine->second.m_phase = UpkeepPhase::Ordered;
    }
}

void applyReportResult(Context &context, const machines::WaveReport &report, bool isStored)
{
    const auto wave = context.m_state.m_waves.find(report.m_wave);
    if (wave == context.m_state.m_waves.end()) {
        return;
    }
    wave->second.m_isReportOpen = false;
    if (isStored) {
        wave->second.m_reported = report;
    } else {
        wave->second.m_nextReportAt = context.m_now.m_boot + retryDelay;
    }
    context.m_out.m_log.push_back(
        logging::Line("upkeep", "reported").add("wave", report.m_wave).add("completed", report.m_isCompleted).add("stored", isStored));
}

}
