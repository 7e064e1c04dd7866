#ifndef COMPONENTS_HTTP_BYTE_COUNT_HPP
#define COMPONENTS_HTTP_BYTE_COUNT_HPP

#include <atomic>
#include <cstdint>

namespace http
{

/// Bytes of HTTP messages, headers included, that one client sent and received. Thread-safe.
struct ByteCount
{
    std::atomic<std::uint64_t> m_sent {0};
    std::atomic<std::uint64_t> m_received {0};
};

}

#endif
