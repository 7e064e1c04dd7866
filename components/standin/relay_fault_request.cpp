#include "components/standin/relay_fault_request.hpp"

#include "components/platform/json_fields.hpp"

#include <boost/json/value.hpp>

namespace standin
{

RelayFaultRequest decodeRelayFaultRequest(std::string_view text)
{
    const auto object = platform::parseObject(text);
    platform::rejectUnknownFields(object, {"name", "cutForward", "cutBackward", "cutFrom", "cutTo", "delayMs", "jitterMs", "dropPercent", "duplicatePercent"});
    RelayFaultRequest request;
    request.m_route = platform::stringField(object, "name");
    auto &faults = request.m_faults;
    faults.m_cutForward = platform::boolField(object, "cutForward", false);
    faults.m_cutBackward = platform::boolField(object, "cutBackward", false);
    faults.m_cutFrom = platform::stringArrayField(object, "cutFrom");
    faults.m_cutTo = platform::stringArrayField(object, "cutTo");
    faults.m_delay = fleet::Duration(platform::nonNegativeField(object, "delayMs", 0));
    faults.m_jitter = fleet::Duration(platform::nonNegativeField(object, "jitterMs", 0));
    faults.m_dropPercent = platform::nonNegativeIntField(object, "dropPercent", 0);
    faults.m_duplicatePercent = platform::nonNegativeIntField(object, "duplicatePercent", 0);
    return request;
}

}
