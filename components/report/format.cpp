#include "components/report/format.hpp"

#include <cstdio>

namespace report
{

namespace
{

constexpr double msPerSecond = 1000;
constexpr double msPerMinute = 60 * msPerSecond;
constexpr double msPerHour = 60 * msPerMinute;
const char *const noData = "no data";

std::string formatted(const char *format, double value)
{
    char text[64];
    std::snprintf(text, sizeof text, format, value);
    return text;
}

}

std::string formatDuration(std::optional<fleet::Duration> duration)
{
    if (!duration) {
        return noData;
    }
    const auto milliseconds = static_cast<double>(duration->count());
    if (milliseconds < msPerSecond) {
        return formatted("%.0f ms", milliseconds);
    }
    if (milliseconds < msPerMinute) {
        return formatted("%.1f s", milliseconds / msPerSecond);
    }
    if (milliseconds < msPerHour) {
        return formatted("%.1f min", milliseconds / msPerMinute);
    }
    return formatted("%.1f h", milliseconds / msPerHour);
}

std::string formatTime(fleet::TimePoint time)
{
    const auto day = std::chrono::floor<std::chrono::days>(time);
    const std::chrono::year_month_day date(day);
    const auto minutes = std::chrono::duration_cast<std::chrono::minutes>(time - day).count();
    char text[64];
    std::snprintf(text,
                  sizeof text,
                  "%04d-%02u-%02u %02d:%02d UTC",
                  static_cast<int>(date.year()),
                  static_cast<unsigned>(date.month()),
                  static_cast<unsigned>(date.day()),
                  static_cast<int>(minutes / 60),
                  static_cast<int>(minutes % 60));
    return text;
}

std::string formatPercentage(double part, double whole)
{
    if (whole <= 0) {
        return noData;
    }
    return formatted("%.1f%%", 100.0 * part / whole);
}

std::string formatRate(std::optional<double> rate)
{
    return rate ? formatted("%.2f", *rate) : noData;
}

std::string formatAcceleratorHours(std::uint64_t acceleratorMs)
{
    return formatted("%.1f", static_cast<double>(acceleratorMs) / msPerHour);
}

}
