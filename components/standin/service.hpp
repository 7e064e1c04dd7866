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

/// HTTP server on one port of the stand-in. Applies the active faults to each request and lets the subclass serve it on
/// the event loop's thread.
class Service
{
public:
    Service(EventLoop &loop, std::optional<http::Response> downResponse);
    virtual ~Service();

    Service(const Service &) = delete;
    Service &operator=(const Service &) = delete;

    /// Starts listening. Must be called once.
    /// @throws http::ServerError
    void listen(const http::Address &bind);
    /// Stops listening and closes open connections. Must be called before the event loop ends.
    void close();
    http::Address address() const;

    /// Must be called on the event loop's thread.
    void setFaults(const Faults &faults, fleet::TimePoint now);

protected:
    /// Serves one request and calls `reply` once, immediately or later.
    virtual void serve(const http::Request &request, fleet::TimePoint now, const FaultInjector::Reply &reply) = 0;
    /// Called after the active faults changed.
    virtual void onFaults(const Faults &faults, fleet::TimePoint now);
    /// Returns true for queries of tests, to which faults are not applied.
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
