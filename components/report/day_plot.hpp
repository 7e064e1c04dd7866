#ifndef COMPONENTS_REPORT_DAY_PLOT_HPP
#define COMPONENTS_REPORT_DAY_PLOT_HPP

#include "components/fleet/time.hpp"

#include <optional>
#include <string>
#include <vector>

namespace report
{

/// The value of one day. A day without a value is a gap in the plot.
struct DayValue
{
    fleet::TimePoint m_day;
    std::optional<double> m_value;

    bool operator==(const DayValue &) const = default;
};

/// Renders a bar chart as an HTML figure with an SVG element, labelled with the largest value and the unit.
std::string renderDayPlot(const std::string &title, const std::string &unit, const std::vector<DayValue> &values);

}

#endif
