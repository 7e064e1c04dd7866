#ifndef COMPONENTS_HTTP_RESULT_KIND_HPP
#define COMPONENTS_HTTP_RESULT_KIND_HPP

#include <cstdint>

namespace http
{

/// What is known about a request after it was handed to the client.
enum class ResultKind : std::uint8_t {
    /// No byte of the request left this process; the peer cannot have acted on it.
    NotSent,
    /// A whole answer arrived.
    Answered,
    /// Bytes left and no whole answer arrived; the peer may have acted on the request.
    Unknown,
};

}

#endif
