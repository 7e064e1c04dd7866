#ifndef COMPONENTS_CALLERS_CALL_KIND_HPP
#define COMPONENTS_CALLERS_CALL_KIND_HPP

#include <cstdint>

namespace callers
{

enum class CallKind : std::uint8_t {
    /// Submit a job.
    Submit,
    /// The state of a job, or the number of waiting jobs of a queue.
    Show,
    /// Cancel a job.
    Cancel,
};

}

#endif
