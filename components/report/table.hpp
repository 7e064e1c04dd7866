#ifndef COMPONENTS_REPORT_TABLE_HPP
#define COMPONENTS_REPORT_TABLE_HPP

#include <string>
#include <vector>

namespace report
{

/// A heading and rows of cells, laid out in columns.
struct Table
{
    std::string m_title;
    std::vector<std::string> m_heading;
    std::vector<std::vector<std::string>> m_rows;

    bool operator==(const Table &) const = default;
};

/// Plain text with columns padded to their widest cell.
std::string renderText(const Table &table);

/// An HTML table; cells are escaped.
std::string renderHtml(const Table &table);

/// Replaces the characters that HTML gives a meaning.
std::string escapeHtml(const std::string &text);

}

#endif
