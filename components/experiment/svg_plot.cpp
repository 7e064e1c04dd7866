#include "components/experiment/svg_plot.hpp"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace experiment
{

namespace
{

constexpr double width = 800.0;
constexpr double height = 480.0;
constexpr double margin = 60.0;
constexpr double plotWidth = width - 2.0 * margin;
constexpr double plotHeight = height - 2.0 * margin;
/// The time axis runs from 10 s to 1,000,000 s.
constexpr double lowestExponent = 1.0;
constexpr double highestExponent = 6.0;
constexpr int pointsPerLine = 200;
constexpr const char *colours[] = {"#c0392b", "#2471a3", "#1e8449", "#7d3c98"};

double xOf(double seconds)
{
    const double exponent = std::clamp(std::log10(std::max(seconds, 1.0)), lowestExponent, highestExponent);
    return margin + (exponent - lowestExponent) / (highestExponent - lowestExponent) * plotWidth;
}

double yOf(double share)
{
    return height - margin - share * plotHeight;
}

void writeText(std::ostream &out, double x, double y, const char *anchor, const std::string &text)
{
    out << "<text x=\"" << x << "\" y=\"" << y << "\" text-anchor=\"" << anchor << "\">" << text << "</text>\n";
}

void writeRule(std::ostream &out, double x1, double y1, double x2, double y2)
{
    out << "<line x1=\"" << x1 << "\" y1=\"" << y1 << "\" x2=\"" << x2 << "\" y2=\"" << y2 << "\" stroke=\"#cccccc\"/>\n";
}

void writeAxes(std::ostream &out)
{
    for (int exponent = static_cast<int>(lowestExponent); exponent <= static_cast<int>(highestExponent); ++exponent) {
        const double x = xOf(std::pow(10.0, exponent));
        writeRule(out, x, yOf(0.0), x, yOf(1.0));
        writeText(out, x, height - margin + 20.0, "middle", "1e" + std::to_string(exponent));
    }
    for (int tenth = 0; tenth <= 10; tenth += 2) {
        const double y = yOf(tenth / 10.0);
        writeRule(out, margin, y, width - margin, y);
        writeText(out, margin - 8.0, y + 4.0, "end", std::to_string(tenth * 10) + "%");
    }
    writeText(out, width / 2.0, height - 15.0, "middle", "completion time in s");
}

void writeLine(std::ostream &out, const std::vector<double> &sorted, const char *colour)
{
    out << "<polyline fill=\"none\" stroke-width=\"2\" stroke=\"" << colour << "\" points=\"";
    for (int point = 0; point <= pointsPerLine; ++point) {
        const double share = static_cast<double>(point) / pointsPerLine;
        out << xOf(quantile(sorted, share)) << ',' << yOf(share) << ' ';
    }
    out << "\"/>\n";
}

}

std::string completionPlot(const std::vector<Summary> &summaries)
{
    std::ostringstream out;
    out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << width << "\" height=\"" << height << "\" font-family=\"sans-serif\" font-size=\"12\">\n"
        << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n";
    writeAxes(out);
    for (std::size_t index = 0; index < summaries.size(); ++index) {
        const char *colour = colours[index % std::size(colours)];
        const double y = margin + 20.0 * static_cast<double>(index);
        writeLine(out, pooledCompletions(summaries[index]), colour);
        out << "<rect x=\"" << margin + 10.0 << "\" y=\"" << y << "\" width=\"12\" height=\"12\" fill=\"" << colour << "\"/>\n";
        writeText(out, margin + 28.0, y + 11.0, "start", summaries[index].m_site + ", " + summaries[index].m_policy);
    }
    out << "</svg>\n";
    return out.str();
}

}
