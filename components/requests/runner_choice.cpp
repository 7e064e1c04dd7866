#include "components/requests/runner_choice.hpp"

#include "components/requests/state.hpp"

#include <xxhash.h>

#include <algorithm>

namespace requests
{

namespace
{

/// Added to the load of runners in other zones, as a fraction of the slots. A runner of another zone is only preferred
/// if its load is lower than that of runners in the own zone by more than this.
constexpr double otherZonePenalty = 0.1;

/// Maximum number of doublings of the time that a failing runner is avoided.
constexpr int maxDoublings = 16;

int equalShare(const State &state, const Runner &runner)
{
    return std::max(1, std::min(runner.m_slots, runner.m_connections) / std::max(1, state.m_instanceCount));
}

bool isClosed(const State &state, const Runner &runner)
{
    return std::find(state.m_closedZones.begin(), state.m_closedZones.end(), runner.m_zone) != state.m_closedZones.end();
}

bool hasOpenAttempt(const Entry &entry, const Runner &runner)
{
    return std::any_of(entry.m_openAttempts.begin(), entry.m_openAttempts.end(), [&](const OpenAttempt &attempt) {
        return attempt.m_runner == runner.m_id;
    });
}

bool isEligible(const State &state, const Runner &runner, const Entry &entry, int attempts, fleet::TimePoint now)
{
    if (runner.m_leaving || runner.m_removed || isClosed(state, runner) || now < runner.m_avoidUntil || hasOpenAttempt(entry, runner)) {
        return false;
    }
    if (attempts > 0 && runner.m_retryTokens < 1.0) {
        return false;
    }
    // A runner whose last attempt failed gets one attempt at a time until one succeeds.
    const int allowed = runner.m_failuresInRow > 0 ? 1 : allowedInFlight(state, runner, now);
    return runner.m_inFlight < allowed;
}

double load(const State &state, const Runner &runner, fleet::TimePoint now)
{
    const bool fresh = runner.m_reportedAt && now - *runner.m_reportedAt <= state.m_settings.m_loadFreshness;
    const int used = runner.m_inFlight + (fresh ? runner.m_slotsUsedByOthers : 0);
    const double penalty = runner.m_zone == state.m_zone ? 0.0 : otherZonePenalty;
    return static_cast<double>(used + 1) / std::max(1, runner.m_slots) + penalty;
}

std::uint64_t tieBreak(const Entry &entry, const Runner &runner)
{
    const std::string &id = entry.m_request.m_id.value();
    return XXH3_64bits_withSeed(runner.m_id.value().data(), runner.m_id.value().size(), XXH3_64bits(id.data(), id.size()));
}

}

int allowedInFlight(const State &state, const Runner &runner, fleet::TimePoint now)
{
    const int share = equalShare(state, runner);
    const bool fresh = runner.m_reportedAt && now - *runner.m_reportedAt <= state.m_settings.m_loadFreshness;
    if (!fresh || state.m_instanceCount <= 1) {
        return share;
    }
    const int free = runner.m_slots - runner.m_slotsUsedByOthers - share;
    return std::min(runner.m_connections, share + std::max(0, free / 2));
}

bool isAnyRunnerFree(const State &state, fleet::TimePoint now)
{
    return std::any_of(state.m_runners.begin(), state.m_runners.end(), [&](const auto &listed) {
        return isEligible(state, listed.second, Entry(), 0, now);
    });
}

Runner *chooseRunner(State &state, const Entry &entry, fleet::TimePoint now)
{
    Runner *best = nullptr;
    double bestLoad = 0.0;
    std::uint64_t bestTie = 0;
    for (auto &[id, runner] : state.m_runners) {
        if (!isEligible(state, runner, entry, entry.m_attempts, now)) {
            continue;
        }
        const double candidate = load(state, runner, now);
        const std::uint64_t tie = tieBreak(entry, runner);
        if (!best || candidate < bestLoad || (candidate == bestLoad && tie < bestTie)) {
            best = &runner;
            bestLoad = candidate;
            bestTie = tie;
        }
    }
    return best;
}

int totalCapacity(const State &state)
{
    int capacity = 0;
    for (const auto &[id, runner] : state.m_runners) {
        if (!runner.m_leaving && !runner.m_removed && !isClosed(state, runner)) {
            capacity += equalShare(state, runner);
        }
    }
    return capacity;
}

void recordFailure(const State &state, Runner &runner, fleet::TimePoint now)
{
    const int doublings = std::min(runner.m_failuresInRow, maxDoublings);
    ++runner.m_failuresInRow;
    const fleet::Duration avoid = state.m_settings.m_initialAvoidance * (std::int64_t {1} << doublings);
    runner.m_avoidUntil = now + std::min(avoid, state.m_settings.m_maxAvoidance);
}

void recordNoFreeSlot(Runner &runner, fleet::TimePoint now)
{
    runner.m_slotsUsedByOthers = std::max(0, runner.m_slots - runner.m_inFlight);
    runner.m_reportedAt = now;
}

void recordSuccess(Runner &runner)
{
    runner.m_failuresInRow = 0;
}

}
