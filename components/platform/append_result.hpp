#ifndef COMPONENTS_PLATFORM_APPEND_RESULT_HPP
#define COMPONENTS_PLATFORM_APPEND_RESULT_HPP

#include "components/platform/append_kind.hpp"

#include <cstdint>
#include <string>

namespace platform
{

struct AppendResult
{
    AppendKind m_kind = AppendKind::Unknown;
    /// Set only where m_kind is Appended.
    std::uint64_t m_offset = 0;
    /// Empty where m_kind is Appended.
    std::string m_reason;

    bool operator==(const AppendResult &) const = default;
};

}

#endif
