#ifndef COMPONENTS_LOGGING_LINE_ALLOWANCE_HPP
#define COMPONENTS_LOGGING_LINE_ALLOWANCE_HPP

#include "components/fleet/boot_time.hpp"

#include <cstdint>

namespace logging
{

/// Lines of one kind that may still be written, and those that were left out.
struct LineAllowance
{
    double m_available = 0;
    fleet::BootTime m_updatedAt;
    std::uint64_t m_suppressed = 0;
};

}

#endif
