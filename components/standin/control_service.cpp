#include "components/standin/control_service.hpp"

#include "components/http/error_response.hpp"
#include "components/platform/json_fields.hpp"
#include "components/platform/list_codec.hpp"
#include "components/standin/fault_order.hpp"
#include "components/standin/routes.hpp"
#include "components/standin/stand_in.hpp"

#include <boost/json/value.hpp>

namespace standin
{

namespace
{

bool isControlCall(const http::Request &request)
{
    return isCall(request, "POST", "/v1/faults") || isCall(request, "POST", "/v1/instances") || isCall(request, "POST", "/v1/leaving")
        || isCall(request, "POST", "/v1/removed");
}

}

ControlService::ControlService(EventLoop &loop, StandIn &standIn)
    : Service(loop, std::nullopt)
    , m_standIn(standIn)
{
}

void ControlService::serve(const http::Request &request, fleet::TimePoint now, const FaultGate::Reply &reply)
{
    if (!isControlCall(request)) {
        reply(unknownPath());
    } else if (carryOut(request, now)) {
        reply({200, "{}", "application/json", {}});
    } else {
        reply(http::errorResponse(404, "unknown-target", "no such target; use log, list or an id of the list"));
    }
}

bool ControlService::carryOut(const http::Request &request, fleet::TimePoint now)
{
    if (isCall(request, "POST", "/v1/faults")) {
        return m_standIn.setFaults(decodeFaultOrder(request.m_body), now);
    }
    if (isCall(request, "POST", "/v1/instances")) {
        m_standIn.putInstance(platform::decodeInstance(request.m_body), now);
        return true;
    }
    const auto order = platform::parseObject(request.m_body);
    const auto id = platform::textField(order, "id");
    if (isCall(request, "POST", "/v1/removed")) {
        return m_standIn.remove(id, now);
    }
    return m_standIn.setLeaving(id, platform::boolField(order, "leaving", true), now);
}

}
