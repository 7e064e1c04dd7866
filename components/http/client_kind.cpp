#include "components/http/client_kind.hpp"

namespace http
{

const char *toString(ClientKind kind)
{
    switch (kind) {
    case ClientKind::Caller:
        return "callers";
    case ClientKind::Readiness:
        return "readiness";
    case ClientKind::Metrics:
        return "metrics";
    }
    return "unknown";
}

}
