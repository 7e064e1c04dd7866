#include "components/standin/relay_fault_request.hpp"

#include "components/platform/json_fields.hpp"

#include <boost/json/value.hpp>

namespace standin
{

RelayFaultRequest decodeRelayFaultRequest(std::string_view text)
{
    const auto object = platform::parseObject(text);
    platform::refuseUnknownFields(object, {"name", "cutForward", "cutBackward", "cutFrom", "cutTo", "delayMs", "jitterMs", "dropPercent", "duplicatePercent"});
    RelayFaultRequest request;
    request.m_route = platform::textField(object, "name");
    auto &faults = request.m_faults;
    faults.m_cutForward = platform::boolField(object, "cutForward", false);
    faults.m_cutBackward = platform::boolField(object, "cutBackward", false);
    faults.m_cutFrom = platform::textsField(object, "cutFrom");
    faults.m_cutTo = platform::textsField(object, "cutTo");
    faults.m_delay = fleet::Duration(platform::countField(object, "delayMs", 0));
    faults.m_jitter = fleet::Duration(platform::countField(object, "jitterMs", 0));
    faults.m_dropPercent = platform::smallField(object, "dropPercent", 0);
    faults.m_duplicatePercent = platform::smallField(object, "duplicatePercent", 0);
    return request;
}

}
