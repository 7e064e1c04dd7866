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

/// An HTTP/1.1 client with a pool of keep-alive connections for each address.
///
/// It never sends a request twice. If the peer has closed an idle connection in the meantime, the result is NotSent if no byte
/// could be written, and Unknown otherwise.
class Client
{
public:
    /// Called once for each request, on the client's thread. It must not block. If it throws, it is called once more with Unknown,
    /// so that whatever waits for the end of the request goes on.
    using Callback = std::function<void(Result)>;

    /// Creates a client with its own thread.
    explicit Client(const ClientSettings &settings = {});
    /// Creates a client on a thread shared with other clients and servers. A destructor that runs on that thread may return
    /// before every callback was called.
    Client(const ClientSettings &settings, std::shared_ptr<IoThread> thread);

    /// Aborts pending requests: each callback is called with NotSent or Unknown before the destructor returns.
    ~Client();

    Client(const Client &) = delete;
    Client &operator=(const Client &) = delete;

    /// Sends a request. `timeout` covers waiting for a free connection, connecting, sending and reading the whole response.
    void send(const Address &address, Request request, fleet::Duration timeout, Callback callback);

    /// Totals since the client was created; the reference is valid as long as the client.
    const ByteCount &byteCount() const;

private:
    std::shared_ptr<IoThread> m_thread;
    std::shared_ptr<ClientCore> m_core;
};

}

#endif
