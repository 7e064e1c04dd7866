#include "components/report/stats_history.hpp"

namespace report
{

namespace
{

constexpr std::chrono::days hourlyRetention {7};
constexpr std::chrono::days dailyRetention {400};

void addRange(PeriodStats &total, const std::map<fleet::TimePoint, PeriodStats> &periods, fleet::TimePoint from, fleet::TimePoint to)
{
    for (auto period = periods.lower_bound(from); period != periods.end() && period->first < to; ++period) {
        total.add(period->second);
    }
}

}

fleet::TimePoint hourOf(fleet::TimePoint time)
{
    return std::chrono::floor<std::chrono::hours>(time);
}

fleet::TimePoint dayOf(fleet::TimePoint time)
{
    return std::chrono::floor<std::chrono::days>(time);
}

void addHour(StatsHistory &history, fleet::TimePoint hour, const PeriodStats &stats)
{
    history.m_hours[hourOf(hour)].add(stats);
}

void rollUp(StatsHistory &history, fleet::TimePoint now)
{
    const fleet::TimePoint firstHour = dayOf(now - hourlyRetention);
    while (!history.m_hours.empty() && history.m_hours.begin()->first < firstHour) {
        const auto oldest = history.m_hours.begin();
        history.m_days[dayOf(oldest->first)].add(oldest->second);
        history.m_hours.erase(oldest);
    }
    history.m_days.erase(history.m_days.begin(), history.m_days.lower_bound(dayOf(now - dailyRetention)));
}

PeriodStats sum(const StatsHistory &history, fleet::TimePoint from, fleet::TimePoint to)
{
    PeriodStats total;
    addRange(total, history.m_hours, from, to);
    addRange(total, history.m_days, from, to);
    return total;
}

}
