#ifndef COMPONENTS_REPORT_FORMAT_HPP
#define COMPONENTS_REPORT_FORMAT_HPP

#include "components/fleet/time.hpp"

#include <optional>
#include <string>

namespace report
{

/// "850 ms", "12.3 s", "7.5 min" or "3.2 h"; "no data" if there is no duration.
std::string formatDuration(std::optional<fleet::Duration> duration);

/// "2026-12-04 07:15 UTC"
std::string formatTime(fleet::TimePoint time);

/// "93.1%"; "no data" if `whole` is 0 or less.
std::string formatPercentage(double part, double whole);

/// Two decimals; "no data" if there is no rate.
std::string formatRate(std::optional<double> rate);

/// Accelerator hours with one decimal, from accelerator milliseconds.
std::string formatAcceleratorHours(std::uint64_t acceleratorMs);

}

#endif
