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

/// Parses a month such as "2026-12". Returns nothing if the text has any other form.
std::optional<Month> parseMonth(const std::string &text);
std::string toString(const Month &month);

Month monthOf(fleet::TimePoint time);
fleet::TimePoint beginOf(const Month &month);
/// Start of the following month.
fleet::TimePoint endOf(const Month &month);

}

#endif
