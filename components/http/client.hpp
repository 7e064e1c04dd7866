#ifndef COMPONENTS_HTTP_CLIENT_HPP
#define COMPONENTS_HTTP_CLIENT_HPP

#include "components/fleet/time.hpp"
#include "components/http/client_settings.hpp"

#include <functional>
#include <memory>

namespace http
{

class ClientCore;
class IoThread;
struct ByteCount;
struct Address;
struct Request;
struct Result;

/// An HTTP/1.1 client with a pool of kept connections for each address.
///
/// It never sends a request twice. A kept connection that the peer closed meanwhile gives NotSent where not one byte
/// could be written, and Unknown from the first byte on.
class Client
{
public:
    /// Called exactly once for each request, on the client's thread. It must not block or throw.
    using Callback = std::function<void(Result)>;

    /// With a thread of its own.
    explicit Client(const ClientSettings &settings = {});
    /// On a thread shared with other clients and servers. A destructor that runs on it does not wait for callbacks.
    Client(const ClientSettings &settings, std::shared_ptr<IoThread> thread);

    /// Ends what is under way: each callback is called with NotSent or Unknown before the destructor returns.
    ~Client();

    Client(const Client &) = delete;
    Client &operator=(const Client &) = delete;

    /// Sends a request. `timeout` covers waiting for a connection, connecting, sending and reading the whole answer.
    void send(const Address &address, Request request, fleet::Duration timeout, Callback callback);

    /// Counts from the start of the client; valid as long as the client.
    const ByteCount &byteCount() const;

private:
    std::shared_ptr<IoThread> m_thread;
    std::shared_ptr<ClientCore> m_core;
};

}

#endif
