#include "components/report/table.hpp"

#include <algorithm>

namespace report
{

namespace
{

using Row = std::vector<std::string>;

void updateWidths(std::vector<std::size_t> &widths, const Row &row)
{
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t column = 0; column < row.size(); ++column) {
        widths[column] = std::max(widths[column], row[column].size());
    }
}

std::string textLine(const Row &row, const std::vector<std::size_t> &widths)
{
    std::string line;
    for (std::size_t column = 0; column < row.size(); ++column) {
        line += row[column];
        if (column + 1 < row.size()) {
            line += std::string(widths[column] - row[column].size() + 2, ' ');
        }
    }
    return line + "\n";
}

std::string htmlRow(const Row &row, const std::string &element)
{
    std::string html = "<tr>";
    for (const std::string &cell : row) {
        html.append("<").append(element).append(">").append(escapeHtml(cell));
        html.append("</").append(element).append(">");
    }
    return html + "</tr>\n";
}

}

std::string renderText(const Table &table)
{
    std::vector<std::size_t> widths;
    updateWidths(widths, table.m_heading);
    for (const Row &row : table.m_rows) {
        updateWidths(widths, row);
    }
    std::string text = table.m_title + "\n" + textLine(table.m_heading, widths);
    for (const Row &row : table.m_rows) {
        text += textLine(row, widths);
    }
    return text;
}

std::string renderHtml(const Table &table)
{
    std::string html = "<h2>" + escapeHtml(table.m_title) + "</h2>\n<table>\n" + htmlRow(table.m_heading, "th");
    for (const Row &row : table.m_rows) {
        html += htmlRow(row, "td");
    }
    return html + "</table>\n";
}

std::string escapeHtml(const std::string &text)
{
    std::string escaped;
    for (const char character : text) {
        switch (character) {
        case '&':
            escaped += "&amp;";
            break;
        case '<':
            escaped += "&lt;";
            break;
        case '>':
            escaped += "&gt;";
            break;
        case '"':
            escaped += "&quot;";
            break;
        default:
            escaped += character;
        }
    }
    return escaped;
}

}
