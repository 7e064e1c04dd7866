#ifndef COMPONENTS_PLATFORM_LOAD_RESULT_HPP
#define COMPONENTS_PLATFORM_LOAD_RESULT_HPP

#include "components/platform/runner_load.hpp"

#include <optional>
#include <string>

namespace platform
{

struct LoadResult
{
    /// Empty if the load could not be read.
    std::optional<RunnerLoad> m_load;
    std::string m_reason;

    bool operator==(const LoadResult &) const = default;
};

}

#endif
