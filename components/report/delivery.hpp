#ifndef COMPONENTS_REPORT_DELIVERY_HPP
#define COMPONENTS_REPORT_DELIVERY_HPP

#include "components/fleet/time.hpp"
#include "components/report/burn.hpp"
#include "components/report/exception_summary.hpp"
#include "components/report/month.hpp"
#include "components/report/objective_targets.hpp"
#include "components/report/period_stats.hpp"
#include "components/report/stats_history.hpp"

#include <optional>
#include <vector>

namespace report
{

/// One UTC day of the delivery report.
struct DeliveryDay
{
    fleet::TimePoint m_day;
    /// Empty if no instance recorded anything that day; reports show a gap.
    std::optional<PeriodStats> m_stats;

    bool operator==(const DeliveryDay &) const = default;
};

/// Delivery report: what the fleet delivered in one month, the exceptions and the burn rates.
struct Delivery
{
    Month m_month;
    fleet::TimePoint m_generatedAt;
    PeriodStats m_total;
    std::vector<DeliveryDay> m_days;
    std::vector<ExceptionSummary> m_exceptions;
    std::vector<Burn> m_burns;

    bool operator==(const Delivery &) const = default;
};

/// Builds the report of `month` as of `now`. Days after `now` are omitted.
Delivery makeDelivery(
    const StatsHistory &history, const ObjectiveTargets &targets, const std::vector<ExceptionSummary> &exceptions, const Month &month, fleet::TimePoint now);

}

#endif
