#ifndef COMPONENTS_HTTP_CLOSE_CAUSE_HPP
#define COMPONENTS_HTTP_CLOSE_CAUSE_HPP

namespace http
{

/// The limit for which a client was refused or its connection closed.
enum class CloseCause {
    /// The memory budget of unfinished requests was exhausted, and this connection held most and progressed least.
    Memory,
    /// The connections of this kind were exhausted, and this one was used least.
    Connections,
    /// Header section too large, or too many header lines.
    Header,
    /// The request body exceeds the limit.
    Body,
    /// Trailers, chunk extensions or chunk-size lines exceed the limit.
    ChunkOverhead,
    /// The header section did not end in time.
    HeaderTimeout,
    /// The body progressed too slowly.
    BodyTimeout,
    /// The client did not read its response in time.
    WriteTimeout,
    /// The request is not valid HTTP.
    Malformed,
};

const char *toString(CloseCause cause);

}

#endif
