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
    /// Called on a server thread for each whole request. It must not block; an exception is answered with status 500.
    using Handler = std::function<void(Request, Responder)>;

    /// Binds, listens and serves at once.
    /// @throws ServerError where the address cannot be bound.
    Server(const ServerSettings &settings, Handler handler);
    /// On a thread shared with other clients and servers.
    Server(const ServerSettings &settings, Handler handler, std::shared_ptr<IoThread> thread);

    /// Stops without waiting for requests in flight.
    ~Server();

    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    /// The port listened on.
    std::uint16_t port() const;

    /// Requests handed to the handler whose answer has not been written.
    std::size_t inFlight() const;

    /// Stops listening. Requests in flight are finished, and each connection is closed after its answer. Returns at once.
    void beginStop();

    /// True once a stop has begun and every connection is closed.
    bool isDrained() const;

    /// Begins the stop and waits until every connection is closed, at most `limit`. Must not be called by a handler.
    /// @return false where connections had to be cut at the limit.
    bool stop(fleet::Duration limit);

private:
    std::shared_ptr<IoThread> m_thread;
    std::shared_ptr<ServerCore> m_core;
};

}

#endif
