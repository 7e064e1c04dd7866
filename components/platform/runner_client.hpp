#ifndef COMPONENTS_PLATFORM_RUNNER_CLIENT_HPP
#define COMPONENTS_PLATFORM_RUNNER_CLIENT_HPP

#include "components/fleet/time.hpp"
#include "components/http/address.hpp"
#include "components/platform/load_result.hpp"
#include "components/platform/run_request.hpp"
#include "components/platform/run_result.hpp"

#include <functional>

namespace http
{
class Client;
}

namespace platform
{

/// Sends requests to runners. Callbacks run on the HTTP client's thread.
class RunnerClient
{
public:
    using RunCallback = std::function<void(RunResult)>;
    using LoadCallback = std::function<void(LoadResult)>;

    /// `client` must outlive this object.
    explicit RunnerClient(http::Client &client);

    /// Sends the request once and never retries it.
    void run(const http::Address &runner, const RunRequest &request, fleet::Duration timeout, RunCallback callback) const;

    void fetchLoad(const http::Address &runner, fleet::Duration timeout, LoadCallback callback) const;

private:
    http::Client &m_client;
};

}

#endif
