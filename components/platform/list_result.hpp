#ifndef COMPONENTS_PLATFORM_LIST_RESULT_HPP
#define COMPONENTS_PLATFORM_LIST_RESULT_HPP

#include "components/platform/platform_list.hpp"

#include <optional>
#include <string>

namespace platform
{

struct ListResult
{
    /// Empty if the list could not be read.
    std::optional<PlatformList> m_list;
    std::string m_reason;

    bool operator==(const ListResult &) const = default;
};

}

#endif
