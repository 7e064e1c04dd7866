#include "components/report/delivery.hpp"

#include <algorithm>

namespace report
{

namespace
{

bool overlaps(const ExceptionSummary &exception, fleet::TimePoint from, fleet::TimePoint to)
{
    return exception.m_since < to && (!exception.m_until || *exception.m_until > from);
}

DeliveryDay makeDay(const StatsHistory &history, fleet::TimePoint day)
{
    PeriodStats stats = sum(history, day, day + std::chrono::days(1));
    if (stats.empty()) {
        return {day, std::nullopt};
    }
    return {day, std::move(stats)};
}

}

Delivery makeDelivery(
    const StatsHistory &history, const ObjectiveTargets &targets, const std::vector<ExceptionSummary> &exceptions, const Month &month, fleet::TimePoint now)
{
    Delivery delivery {month, now, sum(history, beginOf(month), endOf(month)), {}, {}, calculateBurns(history, targets, now)};
    const fleet::TimePoint end = std::min(endOf(month), dayOf(now) + std::chrono::days(1));
    for (fleet::TimePoint day = beginOf(month); day < end; day += std::chrono::days(1)) {
        delivery.m_days.push_back(makeDay(history, day));
    }
    std::copy_if(exceptions.begin(), exceptions.end(), std::back_inserter(delivery.m_exceptions), [&](const ExceptionSummary &exception) {
        return overlaps(exception, beginOf(month), endOf(month));
    });
    return delivery;
}

}
