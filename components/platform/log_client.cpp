#include "components/platform/log_client.hpp"

#include "components/http/client.hpp"
#include "components/http/request.hpp"
#include "components/http/request_target.hpp"
#include "components/http/result.hpp"
#include "components/platform/fetch_result.hpp"
#include "components/platform/log_codec.hpp"

#include <utility>

namespace platform
{

namespace
{

std::string recordsTarget(const std::string &stream)
{
    return "/v1/streams/" + http::percentEncode(stream) + "/records";
}

}

LogClient::LogClient(http::Client &client, http::Address address)
    : m_client(client)
    , m_address(std::move(address))
{
}

void LogClient::append(const std::string &stream, std::string body, fleet::Duration timeout, AppendCallback callback) const
{
    http::Request request {"POST", recordsTarget(stream), {{"Content-Type", "application/octet-stream"}}, std::move(body)};
    m_client.send(m_address, std::move(request), timeout, [callback = std::move(callback)](const http::Result &result) {
        callback(toAppendResult(result));
    });
}

void LogClient::read(const std::string &stream, std::uint64_t from, int limit, fleet::Duration timeout, ReadCallback callback) const
{
    const auto target = recordsTarget(stream) + "?from=" + std::to_string(from) + "&limit=" + std::to_string(limit);
    m_client.send(m_address, {"GET", target, {}, {}}, timeout, [callback = std::move(callback)](const http::Result &result) {
        auto fetched = toFetchResult(result, decodeLogPage);
        callback({std::move(fetched.m_value), std::move(fetched.m_reason)});
    });
}

}
