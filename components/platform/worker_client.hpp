#ifndef COMPONENTS_PLATFORM_WORKER_CLIENT_HPP
#define COMPONENTS_PLATFORM_WORKER_CLIENT_HPP

#include "components/fleet/time.hpp"
#include "components/http/address.hpp"
#include "components/platform/command_message.hpp"
#include "components/platform/command_result.hpp"
#include "components/platform/usage_result.hpp"

#include <functional>

namespace http
{
class Client;
}

namespace platform
{

/// Sends commands to workers and reads their usage. Callbacks run on the HTTP client's thread.
class WorkerClient
{
public:
    using CommandCallback = std::function<void(CommandResult)>;
    using UsageCallback = std::function<void(UsageResult)>;

    /// `client` must outlive this object.
    explicit WorkerClient(http::Client &client);

    /// Sends the message once. Commands are idempotent, so the caller may send them again.
    void send(const http::Address &worker, const CommandMessage &message, fleet::Duration timeout, CommandCallback callback) const;

    void fetchUsage(const http::Address &worker, fleet::Duration timeout, UsageCallback callback) const;

private:
    http::Client &m_client;
};

}

#endif
