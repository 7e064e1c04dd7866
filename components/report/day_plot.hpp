#ifndef COMPONENTS_REPORT_DAY_PLOT_HPP
#define COMPONENTS_REPORT_DAY_PLOT_HPP

#include "components/fleet/time.hpp"

#include <optional>
#include <string>
#include <vector>

namespace report
{

/// One value a day; a day without a value leaves a gap in the plot.
struct DayValue
{
    fleet::TimePoint m_day;
    std::optional<double> m_value;

    bool operator==(const DayValue &) const = default;
};

/// A bar chart as an SVG element, with the largest value and the unit written beside it.
std::string renderDayPlot(const std::string &title, const std::string &unit, const std::vector<DayValue> &values);

}

#endif
