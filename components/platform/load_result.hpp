#ifndef COMPONENTS_PLATFORM_LOAD_RESULT_HPP
#define COMPONENTS_PLATFORM_LOAD_RESULT_HPP

#include "components/platform/runner_load.hpp"

#include <optional>
#include <string>

namespace platform
{

struct LoadResult
{
    /// Nothing where the runner did not answer.
    std::optional<RunnerLoad> m_load;
    std::string m_reason;

    bool operator==(const LoadResult &) const = default;
};

}

#endif
