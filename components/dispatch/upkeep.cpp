#include "components/dispatch/upkeep.hpp"

#include "components/catalog/upkeep_wave.hpp"
#include "components/dispatch/allowances.hpp"
#include "components/dispatch/context.hpp"
#include "components/dispatch/runs.hpp"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

namespace dispatch
{

namespace
{

/// Pause after an order or a report that was not carried out.
constexpr fleet::Duration orderRetry {400};
/// From the beginning of an upkeep until the machine's next worker is listed, about: the upkeep itself and a heartbeat.
constexpr fleet::Duration usualAbsence {4000};
/// A machine whose worker is not back after this counts as gone for good.
constexpr fleet::Duration longestAbsence {15'000};
/// Runs may end by themselves for as long as the wave's time allows, but no longer than this.
constexpr fleet::Duration longestPatience {6000};
/// Part of the wave's time that is kept for orders without an answer.
constexpr int reservedPart = 4;

WorkerState *workerOf(Context &context, const fleet::MachineId &machine)
{
    const auto found = std::find_if(context.m_state.m_workers.begin(), context.m_state.m_workers.end(), [&](const auto &entry) {
        return entry.second.m_isListed && entry.second.m_registration.m_machine == machine;
    });
    return found == context.m_state.m_workers.end() ? nullptr : &found->second;
}

bool isAway(const MachineUpkeep &upkeep)
{
    return upkeep.m_phase == UpkeepPhase::Ordered || upkeep.m_phase == UpkeepPhase::Down;
}

bool isTaken(const MachineUpkeep &upkeep)
{
    return isAway(upkeep) || upkeep.m_phase == UpkeepPhase::Emptying;
}

template<class Condition>
std::uint32_t countMachines(const WaveState &wave, Condition condition)
{
    return static_cast<std::uint32_t>(std::count_if(wave.m_machines.begin(), wave.m_machines.end(), [&](const auto &entry) {
        return condition(entry.second);
    }));
}

/// Takes up a wave. Machines of which the journal says that their upkeep has begun may still be down.
void takeUp(Context &context, const catalog::UpkeepWave &wave, WaveState &state)
{
    const auto begun = context.m_ledger.m_upkeeps.find(wave.m_number);
    for (const fleet::MachineId &machine : wave.m_machines) {
        const auto [entry, isNew] = state.m_machines.try_emplace(machine);
        if (isNew && begun != context.m_ledger.m_upkeeps.end() && begun->second.contains(machine)) {
            entry->second.m_phase = UpkeepPhase::Down;
            entry->second.m_since = context.m_now.m_boot;
            entry->second.m_bornBefore = 0;
        }
    }
}

/// How long the runs on the next machines may go on before they are stopped.
fleet::Duration patienceOf(const Context &context, const catalog::UpkeepWave &wave, const WaveState &state)
{
    const std::uint32_t waiting = countMachines(state, [](const MachineUpkeep &upkeep) {
        return upkeep.m_phase == UpkeepPhase::Waiting;
    });
    const std::uint32_t rounds = (waiting + wave.m_maxConcurrent - 1) / std::max(wave.m_maxConcurrent, 1U);
    const fleet::Duration left = wave.m_duration - wave.m_duration / reservedPart - (context.m_now.m_boot - wave.m_firstSeenAt);
    const fleet::Duration each = left / std::max(rounds, 1U) - usualAbsence;
    return std::clamp(each, fleet::Duration(0), longestPatience);
}

/// Waiting machines, those with the fewest runs in front.
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

void chooseNext(Context &context, const catalog::UpkeepWave &wave, WaveState &state)
{
    const fleet::Duration patience = patienceOf(context, wave, state);
    for (const fleet::MachineId &machine : waitingMachines(context, state)) {
        if (countMachines(state, isTaken) >= wave.m_maxConcurrent) {
            return;
        }
        MachineUpkeep &upkeep = state.m_machines.at(machine);
        upkeep.m_phase = UpkeepPhase::Emptying;
        upkeep.m_since = context.m_now.m_boot;
        upkeep.m_stopAt = context.m_now.m_boot + patience;
        context.m_out.m_log.push_back(logging::Line("upkeep", "machine-chosen")
                                          .add("wave", wave.m_number)
                                          .add("machine", machine.value())
                                          .add("patience_ms", patience)
                                          .add("most_at_once", wave.m_maxConcurrent));
    }
}

/// Stops what may be stopped on the machine; true where nothing is left on it.
bool empty(Context &context, const MachineUpkeep &upkeep, WorkerState *worker, Away &away)
{
    if (worker == nullptr || worker->m_runs.empty()) {
        return true;
    }
    if (context.m_now.m_boot >= upkeep.m_stopAt) {
        const std::set<jobs::RunId> runs = worker->m_runs;
        for (const jobs::RunId &run : runs) {
            if (!context.m_state.m_runs.at(run).m_stopWanted && takeAllowance(context, run, away)) {
                wantStop(context, run, "upkeep");
            }
        }
    }
    return worker->m_runs.empty();
}

void order(Context &context, std::uint64_t wave, const fleet::MachineId &machine, MachineUpkeep &upkeep)
{
    const WorkerState *worker = workerOf(context, machine);
    if (upkeep.m_phase == UpkeepPhase::Emptying) {
        upkeep.m_phase = UpkeepPhase::Ordered;
        upkeep.m_bornBefore = worker == nullptr ? 0 : worker->m_registration.m_incarnation.m_startedAtMs;
    }
    upkeep.m_isOrderOpen = true;
    context.m_out.m_upkeeps.push_back({wave, machine, {}, context.m_state.m_token});
}

void carryOnMachine(Context &context, std::uint64_t wave, const fleet::MachineId &machine, MachineUpkeep &upkeep, Away &away)
{
    WorkerState *worker = workerOf(context, machine);
    const bool isCordoned = isTaken(upkeep);
    if (worker != nullptr) {
        worker->m_isCordoned = isCordoned;
    }
    const bool isDue = !upkeep.m_isOrderOpen && context.m_now.m_boot >= upkeep.m_nextOrderAt;
    const bool isEmptied = upkeep.m_phase == UpkeepPhase::Emptying && empty(context, upkeep, worker, away);
    if ((isEmptied || upkeep.m_phase == UpkeepPhase::Ordered) && isDue) {
        order(context, wave, machine, upkeep);
    } else if (upkeep.m_phase == UpkeepPhase::Down) {
        const bool isBack = worker != nullptr && worker->m_registration.m_incarnation.m_startedAtMs > upkeep.m_bornBefore;
        if (isBack || context.m_now.m_boot - upkeep.m_since >= longestAbsence) {
            upkeep.m_phase = UpkeepPhase::Over;
            context.m_state.m_planIsDue = true;
            if (worker != nullptr) {
                worker->m_isCordoned = false;
            }
        }
    }
}

void report(Context &context, const catalog::UpkeepWave &wave, WaveState &state)
{
    const std::uint32_t left = countMachines(state, [](const MachineUpkeep &upkeep) {
        return upkeep.m_phase != UpkeepPhase::Down && upkeep.m_phase != UpkeepPhase::Over;
    });
    const machines::WaveReport news {wave.m_number, left == 0};
    if (state.m_reported == news || state.m_isReportOpen || context.m_now.m_boot < state.m_nextReportAt) {
        return;
    }
    state.m_isReportOpen = true;
    context.m_out.m_reports.push_back(news);
}

}

void carryOnWaves(Context &context)
{
    // An order of the holder before may still be on its way to a machine.
    if (context.m_now.m_boot < context.m_state.m_upkeepNotBefore || !context.m_state.m_firstListAt) {
        return;
    }
    std::erase_if(context.m_state.m_waves, [&](const auto &entry) {
        return std::none_of(context.m_waves.begin(), context.m_waves.end(), [&](const auto &wave) {
            return wave.second.m_number == entry.first;
        });
    });
    Away away;
    for (const auto &[key, wave] : context.m_waves) {
        WaveState &state = context.m_state.m_waves[wave.m_number];
        takeUp(context, wave, state);
        chooseNext(context, wave, state);
        for (auto &[machine, upkeep] : state.m_machines) {
            carryOnMachine(context, wave.m_number, machine, upkeep, away);
        }
        report(context, wave, state);
    }
}

void takeUpkeep(Context &context, const machines::UpkeepOrder &order, machines::UpkeepOutcome outcome)
{
    const auto wave = context.m_state.m_waves.find(order.m_wave);
    const auto found = wave == context.m_state.m_waves.end() ? decltype(wave->second.m_machines.begin()) {} : wave->second.m_machines.find(order.m_machine);
    if (wave == context.m_state.m_waves.end() || found == wave->second.m_machines.end()) {
        return;
    }
    MachineUpkeep &upkeep = found->second;
    upkeep.m_isOrderOpen = false;
    upkeep.m_nextOrderAt = context.m_now.m_boot + orderRetry;
    context.m_out.m_log.push_back(logging::Line("upkeep", "ordered")
                                      .add("wave", order.m_wave)
                                      .add("machine", order.m_machine.value())
                                      .add("outcome", static_cast<int>(outcome))
                                      .add("token", order.m_token.m_value));
    switch (outcome) {
    case machines::UpkeepOutcome::Begun:
        upkeep.m_phase = UpkeepPhase::Down;
        upkeep.m_since = context.m_now.m_boot;
        context.m_ledger.m_upkeeps[order.m_wave].insert(order.m_machine);
        context.m_out.m_records.emplace_back(journal::UpkeepBegun {order.m_wave, order.m_machine});
        break;
    case machines::UpkeepOutcome::Fenced:
        context.m_out.m_isFenced = true;
        break;
    case machines::UpkeepOutcome::NotInWave:
        upkeep.m_phase = UpkeepPhase::Over;
        break;
    case machines::UpkeepOutcome::Busy:
    case machines::UpkeepOutcome::Refused:
    case machines::UpkeepOutcome::Unknown:
        // The order is sent again; until then the machine counts as away.
        break;
    }
}

void takeReport(Context &context, const machines::WaveReport &report, bool isStored)
{
    const auto wave = context.m_state.m_waves.find(report.m_wave);
    if (wave == context.m_state.m_waves.end()) {
        return;
    }
    wave->second.m_isReportOpen = false;
    if (isStored) {
        wave->second.m_reported = report;
    } else {
        wave->second.m_nextReportAt = context.m_now.m_boot + orderRetry;
    }
    context.m_out.m_log.push_back(
        logging::Line("upkeep", "reported").add("wave", report.m_wave).add("completed", report.m_isCompleted).add("stored", isStored));
}

}
