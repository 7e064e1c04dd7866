#ifndef COMPONENTS_PLATFORM_USAGE_RESULT_HPP
#define COMPONENTS_PLATFORM_USAGE_RESULT_HPP

#include "components/platform/usage_report.hpp"

#include <optional>
#include <string>

namespace platform
{

struct UsageResult
{
    /// Empty if the usage could not be read.
    std::optional<UsageReport> m_usage;
    std::string m_reason;

    bool operator==(const UsageResult &) const = default;
};

}

#endif
