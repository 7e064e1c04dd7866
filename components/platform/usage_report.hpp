#ifndef COMPONENTS_PLATFORM_USAGE_REPORT_HPP
#define COMPONENTS_PLATFORM_USAGE_REPORT_HPP

#include "components/fleet/resources.hpp"
#include "components/fleet/time.hpp"

namespace platform
{

/// Resources that a worker's tasks used at `m_asOf`; it may be out of date.
struct UsageReport
{
    fleet::TimePoint m_asOf;
    fleet::Resources m_used;

    bool operator==(const UsageReport &) const = default;
};

}

#endif
