#include "components/standin/service.hpp"

#include "components/http/error_response.hpp"
#include "components/http/server.hpp"
#include "components/platform/decode_error.hpp"
#include "components/standin/event_loop.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <utility>

namespace standin
{

namespace
{

constexpr std::size_t bodyLimit = 16UL * 1024 * 1024;

http::Response badRequestResponse(const platform::DecodeError &error)
{
    return {400, boost::json::serialize(boost::json::object {{"error", "bad-request"}, {"message", error.what()}}), "application/json", {}};
}

}

Service::Service(EventLoop &loop, std::optional<http::Response> downResponse)
    : m_loop(loop)
    , m_faultInjector(loop, std::move(downResponse))
{
}

Service::~Service() = default;

void Service::listen(const http::Address &bind)
{
    m_host = bind.m_host;
    http::ServerSettings settings;
    settings.m_bind = bind;
    settings.m_bodyLimit = bodyLimit;
    m_server = std::make_unique<http::Server>(settings, [this](const http::Request &request, const http::Responder &responder) {
        m_loop.post([this, request, responder](fleet::TimePoint now) {
            onRequest(request, responder, now);
        });
    });
}

void Service::close()
{
    m_server.reset();
}

http::Address Service::address() const
{
    return {m_host, m_server->port()};
}

void Service::setFaults(const Faults &faults, fleet::TimePoint now)
{
    m_faultInjector.setFaults(faults, now);
    onFaults(faults, now);
}

void Service::onFaults(const Faults &, fleet::TimePoint)
{
}

bool Service::isInspection(const http::Request &) const
{
    return false;
}

void Service::onRequest(const http::Request &request, const http::Responder &responder, fleet::TimePoint now)
{
    if (isInspection(request)) {
        serveOrReject(request, now, responder);
        return;
    }
    m_faultInjector.handle(
        responder,
        [this, request](fleet::TimePoint later, const FaultInjector::Reply &reply) {
            serveOrReject(request, later, reply);
        },
        now);
}

void Service::serveOrReject(const http::Request &request, fleet::TimePoint now, const FaultInjector::Reply &reply)
{
    try {
        serve(request, now, reply);
    } catch (const platform::DecodeError &error) {
        reply(badRequestResponse(error));
    }
}

}
