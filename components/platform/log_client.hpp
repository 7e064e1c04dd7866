#ifndef COMPONENTS_PLATFORM_LOG_CLIENT_HPP
#define COMPONENTS_PLATFORM_LOG_CLIENT_HPP

#include "components/fleet/time.hpp"
#include "components/http/address.hpp"
#include "components/platform/append_result.hpp"
#include "components/platform/read_result.hpp"

#include <cstdint>
#include <functional>
#include <string>

namespace http
{
class Client;
}

namespace platform
{

/// Appends to and reads from the platform's log. Callbacks run on the HTTP client's thread.
class LogClient
{
public:
    using AppendCallback = std::function<void(AppendResult)>;
    using ReadCallback = std::function<void(ReadResult)>;

    /// `client` must outlive this object.
    LogClient(http::Client &client, http::Address address);

    /// Sends the append once and never retries it.
    void append(const std::string &stream, std::string body, fleet::Duration timeout, AppendCallback callback) const;

    /// Reads at most `limit` records, starting at offset `from`.
    void read(const std::string &stream, std::uint64_t from, int limit, fleet::Duration timeout, ReadCallback callback) const;

private:
    http::Client &m_client;
    http::Address m_address;
};

}

#endif
