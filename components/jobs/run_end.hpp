#ifndef COMPONENTS_JOBS_RUN_END_HPP
#define COMPONENTS_JOBS_RUN_END_HPP

#include <cstdint>

namespace jobs
{

/// How a run ended.
enum class RunEnd : std::uint8_t {
    Done,
    /// Failed because of the task or the worker; counts as an attempt.
    Failed,
    /// Stopped on an order.
    Stopped,
    /// Its lease was not renewed in time.
    LeaseExpired,
    /// Another member of its gang ended.
    GangBroken,
    /// The other members of its gang did not start in time.
    GangIncomplete,
    /// The start was refused, or certainly will not take place.
    NeverBegan,
    /// Its worker ended or restarted while the run was open.
    LostWithWorker,
};

/// For logs and reports, in lower case.
const char *nameOf(RunEnd value);

}

#endif
