#include "components/report/ledger.hpp"

namespace report
{

namespace
{

constexpr std::chrono::days hourlyRetention {7};
constexpr std::chrono::days dailyRetention {400};

void addRange(PeriodFigures &total, const std::map<fleet::TimePoint, PeriodFigures> &periods, fleet::TimePoint from, fleet::TimePoint to)
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

void addHour(Ledger &ledger, fleet::TimePoint hour, const PeriodFigures &figures)
{
    ledger.m_hours[hourOf(hour)].add(figures);
}

void rollUp(Ledger &ledger, fleet::TimePoint now)
{
    const fleet::TimePoint firstHour = dayOf(now - hourlyRetention);
    while (!ledger.m_hours.empty() && ledger.m_hours.begin()->first < firstHour) {
        const auto oldest = ledger.m_hours.begin();
        ledger.m_days[dayOf(oldest->first)].add(oldest->second);
        ledger.m_hours.erase(oldest);
    }
    ledger.m_days.erase(ledger.m_days.begin(), ledger.m_days.lower_bound(dayOf(now - dailyRetention)));
}

PeriodFigures sum(const Ledger &ledger, fleet::TimePoint from, fleet::TimePoint to)
{
    PeriodFigures total;
    addRange(total, ledger.m_hours, from, to);
    addRange(total, ledger.m_days, from, to);
    return total;
}

}
