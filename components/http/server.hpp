#ifndef COMPONENTS_HTTP_SERVER_HPP
#define COMPONENTS_HTTP_SERVER_HPP

#include "components/fleet/time.hpp"
#include "components/http/request.hpp"
#include "components/http/responder.hpp"
#include "components/http/server_settings.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

namespace http
{

class IoThread;
class ServerCore;

/// An HTTP/1.1 server.
class Server
{
public:
    /// Called on a server thread for each complete request. It must not block. If it throws, status 500 is sent.
    using Handler = std::function<void(Request, Responder)>;

    /// Binds the address and starts to serve, on its own threads.
    /// @throws ServerError if the address cannot be bound.
    Server(const ServerSettings &settings, Handler handler);
    /// Serves on a thread shared with other clients and servers.
    Server(const ServerSettings &settings, Handler handler, std::shared_ptr<IoThread> thread);

    /// Closes all connections without waiting for requests in flight.
    ~Server();

    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    /// The port listened on.
    std::uint16_t port() const;

    std::size_t openConnections() const;

    /// Number of requests passed to the handler whose response has not been written yet.
    std::size_t inFlight() const;

    /// Stops listening. Requests in flight are finished, and each connection is closed after its response. Returns at once.
    void beginStop();

    /// True if the server has stopped listening and every connection is closed.
    bool isDrained() const;

    /// Calls beginStop() and waits for every connection to close, for `limit` at most. Must not be called by a handler.
    /// @return False if connections were still open at the limit and had to be closed.
    bool stop(fleet::Duration limit);

private:
    std::shared_ptr<IoThread> m_thread;
    std::shared_ptr<ServerCore> m_core;
};

}

#endif
