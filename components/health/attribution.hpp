#ifndef COMPONENTS_HEALTH_ATTRIBUTION_HPP
#define COMPONENTS_HEALTH_ATTRIBUTION_HPP

#include <cstdint>

namespace health
{

/// How a failed task is blamed on its worker or its job.
enum class Attribution : std::uint8_t {
    /// One counter of failures in a row for each worker, and one for each job.
    OneCounter,
    /// Distinct pairs: a job that failed on several workers is bad; a worker is bad for jobs that failed nowhere else.
    DistinctPairs,
    /// As DistinctPairs, with the rack as a further scope.
    LayeredScopes,
};

}

#endif
