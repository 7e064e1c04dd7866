#include "components/platform/runner_client.hpp"

#include "components/http/client.hpp"
#include "components/http/request.hpp"
#include "components/platform/fetch_result.hpp"
#include "components/platform/runner_codec.hpp"

#include <utility>

namespace platform
{

RunnerClient::RunnerClient(http::Client &client)
    : m_client(client)
{
}

void RunnerClient::run(const http::Address &runner, const RunRequest &request, fleet::Duration timeout, RunCallback callback) const
{
    http::Request message {"POST", "/v1/run", {{"Content-Type", "application/json"}}, encodeRunRequest(request)};
    m_client.send(runner, std::move(message), timeout, [request, callback = std::move(callback)](const http::Result &result) {
        callback(toRunResult(result, request));
    });
}

void RunnerClient::fetchLoad(const http::Address &runner, fleet::Duration timeout, LoadCallback callback) const
{
    m_client.send(runner, {"GET", "/v1/load", {}, {}}, timeout, [callback = std::move(callback)](const http::Result &result) {
        auto fetched = toFetchResult(result, decodeLoad);
        callback({fetched.m_value, std::move(fetched.m_reason)});
    });
}

}
