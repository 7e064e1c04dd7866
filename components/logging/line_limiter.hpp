#ifndef COMPONENTS_LOGGING_LINE_LIMITER_HPP
#define COMPONENTS_LOGGING_LINE_LIMITER_HPP

#include "components/fleet/boot_time.hpp"
#include "components/logging/line_allowance.hpp"
#include "components/logging/line_budget.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace logging
{

/// Limits the rate of log lines, separately for each kind of event.
struct LineLimiter
{
    LineBudget m_budget;
    std::map<std::string, LineAllowance> m_allowances;
};

/// Returns true and uses up one line of the budget if a line of this kind may be written now; otherwise counts it as suppressed.
bool admitLine(LineLimiter &limiter, const std::string &kind, fleet::BootTime now);

/// Returns and resets the number of suppressed lines of each kind since the last call.
std::map<std::string, std::uint64_t> takeSuppressed(LineLimiter &limiter);

}

#endif
