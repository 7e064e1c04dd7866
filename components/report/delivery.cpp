#include "components/report/delivery.hpp"

#include <algorithm>

namespace report
{

namespace
{

bool touches(const ExceptionLine &line, fleet::TimePoint from, fleet::TimePoint to)
{
    return line.m_since < to && (!line.m_until || *line.m_until > from);
}

DeliveryDay makeDay(const Ledger &ledger, fleet::TimePoint day)
{
    PeriodFigures figures = sum(ledger, day, day + std::chrono::days(1));
    if (figures.empty()) {
        return {day, std::nullopt};
    }
    return {day, std::move(figures)};
}

}

Delivery
makeDelivery(const Ledger &ledger, const ObjectiveTargets &targets, const std::vector<ExceptionLine> &exceptions, const Month &month, fleet::TimePoint now)
{
    Delivery delivery {month, now, sum(ledger, beginOf(month), endOf(month)), {}, {}, burns(ledger, targets, now)};
    const fleet::TimePoint end = std::min(endOf(month), dayOf(now) + std::chrono::days(1));
    for (fleet::TimePoint day = beginOf(month); day < end; day += std::chrono::days(1)) {
        delivery.m_days.push_back(makeDay(ledger, day));
    }
    std::copy_if(exceptions.begin(), exceptions.end(), std::back_inserter(delivery.m_exceptions), [&](const ExceptionLine &line) {
        return touches(line, beginOf(month), endOf(month));
    });
    return delivery;
}

}
