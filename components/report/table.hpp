#ifndef COMPONENTS_REPORT_TABLE_HPP
#define COMPONENTS_REPORT_TABLE_HPP

#include <string>
#include <vector>

namespace report
{

/// A table with a title, a heading row and rows of cells.
struct Table
{
    std::string m_title;
    std::vector<std::string> m_heading;
    std::vector<std::vector<std::string>> m_rows;

    bool operator==(const Table &) const = default;
};

/// Renders plain text with columns padded to their widest cell.
std::string renderText(const Table &table);

/// Renders an HTML table. The cells are escaped.
std::string renderHtml(const Table &table);

/// Escapes the characters that have a meaning in HTML.
std::string escapeHtml(const std::string &text);

}

#endif
