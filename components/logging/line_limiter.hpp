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

/// Keeps the volume of the log bounded, each kind of event by itself.
struct LineLimiter
{
    LineBudget m_budget;
    std::map<std::string, LineAllowance> m_allowances;
};

/// True where a line of this kind may be written now; otherwise it is counted as left out.
bool admitLine(LineLimiter &limiter, const std::string &kind, fleet::BootTime now);

/// Takes the numbers of lines left out since the last call, by kind.
std::map<std::string, std::uint64_t> takeSuppressed(LineLimiter &limiter);

}

#endif
