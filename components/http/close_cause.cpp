#include "components/http/close_cause.hpp"

namespace http
{

const char *toString(CloseCause cause)
{
    switch (cause) {
    case CloseCause::Memory:
        return "memory";
    case CloseCause::Connections:
        return "connections";
    case CloseCause::Header:
        return "header";
    case CloseCause::Body:
        return "body";
    case CloseCause::ChunkOverhead:
        return "chunk-overhead";
    case CloseCause::HeaderTimeout:
        return "header-timeout";
    case CloseCause::BodyTimeout:
        return "body-timeout";
    case CloseCause::WriteTimeout:
        return "write-timeout";
    case CloseCause::Malformed:
        return "malformed";
    }
    return "unknown";
}

}
