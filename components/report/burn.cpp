#include "components/report/burn.hpp"

#include <array>

namespace report
{

namespace
{

using std::chrono::hours;

constexpr std::array<fleet::Duration, 4> windows {hours(1), hours(6), hours(72), hours(720)};

Tally tallyOf(const PeriodStats &stats, Objective objective)
{
    Tally total;
    for (const auto &[account, accountStats] : stats.m_accounts) {
        total = total + accountStats.m_tallies[static_cast<std::size_t>(objective)];
    }
    return total;
}

std::optional<double> burnRate(const Tally &tally, double target)
{
    if (tally.m_total == 0) {
        return std::nullopt;
    }
    const double bad = static_cast<double>(tally.m_total - tally.m_good) / static_cast<double>(tally.m_total);
    return bad / (1.0 - target);
}

}

std::vector<Burn> calculateBurns(const StatsHistory &history, const ObjectiveTargets &targets, fleet::TimePoint now)
{
    std::vector<Burn> result;
    const fleet::TimePoint end = hourOf(now) + hours(1);
    for (const fleet::Duration window : windows) {
        const PeriodStats stats = sum(history, end - window, end);
        for (const Objective objective : objectives) {
            const Tally tally = tallyOf(stats, objective);
            const double target = targetShare(targets, objective);
            result.push_back({objective, window, tally, target, burnRate(tally, target)});
        }
    }
    return result;
}

}
