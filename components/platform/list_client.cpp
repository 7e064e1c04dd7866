#include "components/platform/list_client.hpp"

#include "components/http/client.hpp"
#include "components/http/request.hpp"
#include "components/http/request_target.hpp"
#include "components/platform/fetch_result.hpp"
#include "components/platform/list_codec.hpp"

#include <charconv>
#include <mutex>
#include <utility>

namespace platform
{

namespace
{

constexpr int statusNotModified = 304;

std::optional<fleet::TimePoint> asOfHeader(const http::Response &response)
{
    const std::string text = http::headerValue(response, "As-Of").value_or("");
    std::int64_t milliseconds = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), milliseconds);
    if (error != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return fleet::fromMilliseconds(milliseconds);
}

bool isNotModified(const http::Result &result)
{
    return result.m_kind == http::ResultKind::Answered && result.m_response.m_status == statusNotModified;
}

}

/// The last list that came with an entity tag. Shared by the threads that call fetch and the HTTP client's thread.
struct ListClient::Cache
{
    std::string tag()
    {
        const std::lock_guard lock(m_mutex);
        return m_tag;
    }

    ListResult handleResponse(const http::Result &result)
    {
        const std::lock_guard lock(m_mutex);
        if (isNotModified(result)) {
            return handleNotModified(result.m_response);
        }
        auto fetched = toFetchResult(result, decodeList);
        if (fetched.m_value) {
            m_tag = http::headerValue(result.m_response, "ETag").value_or("");
            m_list = *fetched.m_value;
        }
        return {std::move(fetched.m_value), std::move(fetched.m_reason)};
    }

private:
    ListResult handleNotModified(const http::Response &response)
    {
        const auto asOf = asOfHeader(response);
        if (!asOf || http::headerValue(response, "ETag").value_or("") != m_tag) {
            m_tag.clear();
            return {std::nullopt, "answered 'not modified' without a valid As-Of or with another entity tag; the next fetch reads the whole list"};
        }
        m_list.m_asOf = *asOf;
        return {m_list, {}};
    }

    std::mutex m_mutex;
    std::string m_tag;
    PlatformList m_list;
};

ListClient::ListClient(http::Client &client, http::Address address)
    : m_client(client)
    , m_address(std::move(address))
    , m_cache(std::make_shared<Cache>())
{
}

void ListClient::fetch(fleet::Duration timeout, Callback callback) const
{
    http::Request request {"GET", "/v1/list", {}, {}};
    const std::string tag = m_cache->tag();
    if (!tag.empty()) {
        request.m_headers.push_back({"If-None-Match", tag});
    }
    m_client.send(m_address, std::move(request), timeout, [cache = m_cache, callback = std::move(callback)](const http::Result &result) {
        callback(cache->handleResponse(result));
    });
}

}
