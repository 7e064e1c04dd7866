#ifndef COMPONENTS_JOBS_RUN_END_HPP
#define COMPONENTS_JOBS_RUN_END_HPP

#include <cstdint>

namespace jobs
{

/// How a run ended.
enum class RunEnd : std::uint8_t {
    Done,
    /// By the task's own fault or the worker's; counts as an attempt.
    Failed,
    /// On an order.
    Stopped,
    /// Its lease was not renewed in time.
    LeaseExpired,
    /// Another member of its gang ended.
    GangBroken,
    /// The rest of its gang did not come in time.
    GangIncomplete,
    /// The start was refused, or is certain never to be carried out.
    NeverBegan,
    /// Its worker ended with it.
    LostWithWorker,
};

/// For logs and reports, in lower case.
const char *nameOf(RunEnd value);

}

#endif
