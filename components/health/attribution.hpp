#ifndef COMPONENTS_HEALTH_ATTRIBUTION_HPP
#define COMPONENTS_HEALTH_ATTRIBUTION_HPP

#include <cstdint>

namespace health
{

/// How a failed task is attributed to its worker or its job.
enum class Attribution : std::uint8_t {
    /// One counter of failures in a row for each worker, and one for each job.
    OneCounter,
    /// Distinct pairs of job and worker: a job that failed on several workers is bad; only jobs that failed nowhere else
    /// count against a worker.
    DistinctPairs,
    /// As DistinctPairs, and a rack with several quarantined workers is quarantined as a whole.
    LayeredScopes,
};

}

#endif
