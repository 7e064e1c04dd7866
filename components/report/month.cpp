#include "components/report/month.hpp"

#include <cstdio>

namespace report
{

namespace
{

std::chrono::year_month toChrono(const Month &month)
{
    return std::chrono::year(month.m_year) / std::chrono::month(month.m_month);
}

fleet::TimePoint firstDay(std::chrono::year_month month)
{
    return std::chrono::sys_days(month / std::chrono::day(1));
}

bool isDigit(char character)
{
    return character >= '0' && character <= '9';
}

}

std::optional<Month> parseMonth(const std::string &text)
{
    if (text.size() != 7 || text[4] != '-') {
        return std::nullopt;
    }
    for (const std::size_t position : {0, 1, 2, 3, 5, 6}) {
        if (!isDigit(text[position])) {
            return std::nullopt;
        }
    }
    const Month month {std::stoi(text.substr(0, 4)), static_cast<unsigned>(std::stoi(text.substr(5)))};
    if (month.m_month < 1 || month.m_month > 12) {
        return std::nullopt;
    }
    return month;
}

std::string toString(const Month &month)
{
    char text[16];
    std::snprintf(text, sizeof text, "%04d-%02u", month.m_year, month.m_month);
    return text;
}

Month monthOf(fleet::TimePoint time)
{
    const std::chrono::year_month_day date(std::chrono::floor<std::chrono::days>(time));
    return {static_cast<int>(date.year()), static_cast<unsigned>(date.month())};
}

fleet::TimePoint beginOf(const Month &month)
{
    return firstDay(toChrono(month));
}

fleet::TimePoint endOf(const Month &month)
{
    return firstDay(toChrono(month) + std::chrono::months(1));
}

}
