#include "components/standin/control_service.hpp"

#include "components/http/address.hpp"
#include "components/http/address_error.hpp"
#include "components/http/error_response.hpp"
#include "components/platform/decode_error.hpp"
#include "components/platform/json_fields.hpp"
#include "components/platform/list_codec.hpp"
#include "components/standin/fault_request.hpp"
#include "components/standin/relay.hpp"
#include "components/standin/relay_fault_request.hpp"
#include "components/standin/routes.hpp"
#include "components/standin/stand_in.hpp"

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

namespace standin
{

namespace
{

const http::Response done {200, "{}", "application/json", {}};

http::Response targetResponse(bool found)
{
    return found ? done : http::errorResponse(404, "unknown-target", "no such target; use log, list, an id of the list or the name of a route");
}

http::Address addressField(const boost::json::object &body, std::string_view name)
{
    try {
        return http::parseAddress(platform::stringField(body, name));
    } catch (const http::AddressError &error) {
        throw platform::DecodeError(error.what());
    }
}

http::Response addressResponse(const http::Address &address)
{
    return {200, boost::json::serialize(boost::json::object {{"address", http::toString(address)}}), "application/json", {}};
}

}

ControlService::ControlService(EventLoop &loop, StandIn &standIn)
    : Service(loop, std::nullopt)
    , m_standIn(standIn)
{
}

void ControlService::serve(const http::Request &request, fleet::TimePoint now, const FaultInjector::Reply &reply)
{
    if (matchesRoute(request, "POST", "/v1/faults")) {
        reply(targetResponse(m_standIn.setFaults(decodeFaultRequest(request.m_body), now)));
    } else if (matchesRoute(request, "POST", "/v1/instances")) {
        m_standIn.putInstance(platform::decodeInstance(request.m_body), now);
        reply(done);
    } else if (matchesRoute(request, "POST", "/v1/leaving")) {
        reply(targetResponse(setLeaving(platform::parseObject(request.m_body), now)));
    } else if (matchesRoute(request, "POST", "/v1/removed")) {
        reply(targetResponse(m_standIn.remove(platform::stringField(platform::parseObject(request.m_body), "id"), now)));
    } else if (matchesRoute(request, "POST", "/v1/relays")) {
        reply(addressResponse(addRelay(platform::parseObject(request.m_body))));
    } else if (matchesRoute(request, "POST", "/v1/relay-faults")) {
        const auto faultRequest = decodeRelayFaultRequest(request.m_body);
        reply(targetResponse(m_standIn.relay().setFaults(faultRequest.m_route, faultRequest.m_faults)));
    } else {
        reply(unknownPathResponse());
    }
}

bool ControlService::setLeaving(const boost::json::object &body, fleet::TimePoint now)
{
    return m_standIn.setLeaving(platform::stringField(body, "id"), platform::boolField(body, "leaving", true), now);
}

http::Address ControlService::addRelay(const boost::json::object &body)
{
    const auto target = addressField(body, "target");
    return m_standIn.relay().add(platform::stringField(body, "name"), target.m_host, target, platform::stringArrayField(body, "callers"));
}

}
