#ifndef COMPONENTS_CALLERS_REPLY_KIND_HPP
#define COMPONENTS_CALLERS_REPLY_KIND_HPP

#include <cstdint>

namespace callers
{

enum class ReplyKind : std::uint8_t {
    /// The job is stored.
    Accepted,
    State,
    Waiting,
    Cancelled,
    NoSuchJob,
    NoSuchQueue,
    /// The key is not known.
    KeyRefused,
    /// The call could not be parsed.
    Malformed,
    /// The job asks for more than its account may have in use. It is not stored and never runs.
    OverMaximum,
    /// Nothing was done and nothing will be; the caller may retry.
    Refused,
    /// The outcome could not be determined; the caller should repeat the call.
    Unknown,
};

}

#endif
