#ifndef COMPONENTS_REPORT_DELIVERY_HPP
#define COMPONENTS_REPORT_DELIVERY_HPP

#include "components/fleet/time.hpp"
#include "components/report/burn.hpp"
#include "components/report/exception_line.hpp"
#include "components/report/ledger.hpp"
#include "components/report/month.hpp"
#include "components/report/objective_targets.hpp"
#include "components/report/period_figures.hpp"

#include <optional>
#include <vector>

namespace report
{

/// One UTC day of a month as the delivery report plots it.
struct DeliveryDay
{
    fleet::TimePoint m_day;
    /// Nothing where no instance observed anything that day: a gap.
    std::optional<PeriodFigures> m_figures;

    bool operator==(const DeliveryDay &) const = default;
};

/// What the fleet delivered in one month and under which exceptions.
struct Delivery
{
    Month m_month;
    fleet::TimePoint m_madeAt;
    PeriodFigures m_total;
    std::vector<DeliveryDay> m_days;
    std::vector<ExceptionLine> m_exceptions;
    std::vector<Burn> m_burns;

    bool operator==(const Delivery &) const = default;
};

/// Builds the report of `month` as seen at `now`. Days after `now` are left out.
Delivery
makeDelivery(const Ledger &ledger, const ObjectiveTargets &targets, const std::vector<ExceptionLine> &exceptions, const Month &month, fleet::TimePoint now);

}

#endif
