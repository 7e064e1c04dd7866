#ifndef COMPONENTS_PLATFORM_READ_RESULT_HPP
#define COMPONENTS_PLATFORM_READ_RESULT_HPP

#include "components/platform/log_page.hpp"

#include <optional>
#include <string>

namespace platform
{

struct ReadResult
{
    /// Empty if the log did not return a page.
    std::optional<LogPage> m_page;
    /// The reason why there is no page.
    std::string m_reason;

    bool operator==(const ReadResult &) const = default;
};

}

#endif
