#ifndef COMPONENTS_LOGGING_LINE_ALLOWANCE_HPP
#define COMPONENTS_LOGGING_LINE_ALLOWANCE_HPP

#include "components/fleet/boot_time.hpp"

#include <cstdint>

namespace logging
{

/// Token bucket of one kind of line, and the number of lines that were suppressed.
struct LineAllowance
{
    double m_available = 0;
    fleet::BootTime m_updatedAt;
    std::uint64_t m_suppressed = 0;
};

}

#endif
