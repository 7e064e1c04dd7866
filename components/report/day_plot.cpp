#include "components/report/day_plot.hpp"

#include "components/report/table.hpp"

#include <algorithm>
#include <cstdio>
#include <sstream>

namespace report
{

namespace
{

constexpr int plotWidth = 720;
constexpr int plotHeight = 180;
constexpr int margin = 36;
constexpr int slotWidth = 22;

std::string formatNumber(double value)
{
    char text[32];
    std::snprintf(text, sizeof text, value < 10 ? "%.1f" : "%.0f", value);
    return text;
}

double findMax(const std::vector<DayValue> &values)
{
    double maxValue = 0;
    for (const DayValue &value : values) {
        maxValue = std::max(maxValue, value.m_value.value_or(0));
    }
    return maxValue;
}

unsigned dayOfMonth(fleet::TimePoint day)
{
    const std::chrono::year_month_day date(std::chrono::floor<std::chrono::days>(day));
    return static_cast<unsigned>(date.day());
}

void renderBar(std::ostream &out, int left, double height)
{
    const double top = plotHeight - margin - height;
    out << "<rect x='" << left << "' y='" << top << "' width='" << slotWidth - 6 << "' height='" << height << "' class='bar'/>\n";
}

void renderGap(std::ostream &out, int left)
{
    const int height = plotHeight - 2 * margin;
    out << "<rect x='" << left << "' y='" << margin << "' width='" << slotWidth - 6 << "' height='" << height
        << "' class='gap'><title>no data</title></rect>\n";
}

}

std::string renderDayPlot(const std::string &title, const std::string &unit, const std::vector<DayValue> &values)
{
    const double maxValue = findMax(values);
    std::ostringstream out;
    out << "<figure><figcaption>" << escapeHtml(title) << "</figcaption>\n";
    out << "<svg viewBox='0 0 " << plotWidth << ' ' << plotHeight << "' role='img'>\n";
    out << "<text x='4' y='" << margin - 10 << "'>" << formatNumber(maxValue) << ' ' << escapeHtml(unit) << "</text>\n";
    out << "<line x1='" << margin << "' y1='" << plotHeight - margin << "' x2='" << plotWidth << "' y2='" << plotHeight - margin << "' class='axis'/>\n";
    int left = margin;
    for (const DayValue &value : values) {
        if (!value.m_value) {
            renderGap(out, left);
        } else if (maxValue > 0) {
            renderBar(out, left, *value.m_value / maxValue * (plotHeight - 2 * margin));
        }
        out << "<text x='" << left << "' y='" << plotHeight - margin + 16 << "'>" << dayOfMonth(value.m_day) << "</text>\n";
        left += slotWidth;
    }
    out << "</svg></figure>\n";
    return out.str();
}

}
