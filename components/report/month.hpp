#ifndef COMPONENTS_REPORT_MONTH_HPP
#define COMPONENTS_REPORT_MONTH_HPP

#include "components/fleet/time.hpp"

#include <compare>
#include <optional>
#include <string>

namespace report
{

/// A calendar month in UTC.
struct Month
{
    int m_year = 1970;
    unsigned m_month = 1;

    auto operator<=>(const Month &) const = default;
};

/// Reads "2026-12"; nothing where the text is anything else.
std::optional<Month> parseMonth(const std::string &text);
std::string toString(const Month &month);

Month monthOf(fleet::TimePoint time);
fleet::TimePoint beginOf(const Month &month);
/// Begin of the month after.
fleet::TimePoint endOf(const Month &month);

}

#endif
