#include "components/platform/worker_client.hpp"

#include "components/http/client.hpp"
#include "components/http/request.hpp"
#include "components/platform/fetch_result.hpp"
#include "components/platform/worker_codec.hpp"

#include <utility>

namespace platform
{

WorkerClient::WorkerClient(http::Client &client)
    : m_client(client)
{
}

void WorkerClient::send(const http::Address &worker, const CommandMessage &message, fleet::Duration timeout, CommandCallback callback) const
{
    http::Request request {"POST", "/v1/commands", {{"Content-Type", "application/json"}}, encodeCommands(message)};
    m_client.send(worker, std::move(request), timeout, [callback = std::move(callback)](const http::Result &result) {
        callback(toCommandResult(result));
    });
}

void WorkerClient::fetchUsage(const http::Address &worker, fleet::Duration timeout, UsageCallback callback) const
{
    m_client.send(worker, {"GET", "/v1/usage", {}, {}}, timeout, [callback = std::move(callback)](const http::Result &result) {
        auto fetched = toFetchResult(result, decodeUsage);
        callback({fetched.m_value, std::move(fetched.m_reason)});
    });
}

}
