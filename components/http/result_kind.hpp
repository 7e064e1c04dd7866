#ifndef COMPONENTS_HTTP_RESULT_KIND_HPP
#define COMPONENTS_HTTP_RESULT_KIND_HPP

#include <cstdint>

namespace http
{

/// Whether a request was sent and answered.
enum class ResultKind : std::uint8_t {
    /// No byte of the request was sent; the peer cannot have processed it.
    NotSent,
    /// A complete response was received.
    Answered,
    /// Part or all of the request was sent and no complete response was received; the peer may have processed the request.
    Unknown,
};

}

#endif
