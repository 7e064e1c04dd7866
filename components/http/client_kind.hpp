#ifndef COMPONENTS_HTTP_CLIENT_KIND_HPP
#define COMPONENTS_HTTP_CLIENT_KIND_HPP

#include <cstddef>

namespace http
{

/// The listener that a client connects to. Each kind has its own part of a process's budget, so that none can use up another's.
enum class ClientKind {
    Caller,
    Readiness,
    Metrics,
};

constexpr std::size_t clientKinds = 3;

const char *toString(ClientKind kind);

}

#endif
