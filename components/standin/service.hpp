#ifndef COMPONENTS_STANDIN_SERVICE_HPP
#define COMPONENTS_STANDIN_SERVICE_HPP

#include "components/fleet/time.hpp"
#include "components/http/request.hpp"
#include "components/http/responder.hpp"
#include "components/standin/fault_injector.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace http
{
class Server;
struct Address;
struct Response;
}

namespace standin
{

class EventLoop;

/// One port of the stand-in: receives requests, passes them through the faults in force and lets a subclass serve them
/// on the event loop's thread.
class Service
{
public:
    Service(EventLoop &loop, std::optional<http::Response> downResponse);
    virtual ~Service();

    Service(const Service &) = delete;
    Service &operator=(const Service &) = delete;

    /// Listens. Called once.
    /// @throws http::ServerError
    void listen(const http::Address &bind);
    /// Stops listening and cuts what is open. Called before the event loop ends.
    void close();
    http::Address address() const;

    /// On the event loop's thread.
    void setFaults(const Faults &faults, fleet::TimePoint now);

protected:
    /// Serves one request and calls `reply` now or later, once.
    virtual void serve(const http::Request &request, fleet::TimePoint now, const FaultInjector::Reply &reply) = 0;
    /// Other faults are in force from now on.
    virtual void onFaults(const Faults &faults, fleet::TimePoint now);
    /// True for requests of tests, which no fault may touch.
    virtual bool isInspection(const http::Request &request) const;

    EventLoop &m_loop;

private:
    void onRequest(const http::Request &request, const http::Responder &responder, fleet::TimePoint now);
    void serveOrReject(const http::Request &request, fleet::TimePoint now, const FaultInjector::Reply &reply);

    FaultInjector m_faultInjector;
    std::string m_host;
    std::unique_ptr<http::Server> m_server;
};

}

#endif
