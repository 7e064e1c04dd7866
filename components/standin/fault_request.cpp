#include "components/standin/fault_request.hpp"

#include "components/platform/json_fields.hpp"

#include <boost/json/value.hpp>

namespace standin
{

FaultRequest decodeFaultRequest(std::string_view text)
{
    const auto object = platform::parseObject(text);
    platform::rejectUnknownFields(object, {"target", "down", "silent", "paused", "slowMs", "lateMs", "loseEvery", "crossed", "failTasks", "stale", "lagMs"});
    FaultRequest request;
    request.m_target = platform::stringField(object, "target");
    auto &faults = request.m_faults;
    faults.m_down = platform::boolField(object, "down", false);
    faults.m_unresponsive = platform::boolField(object, "silent", false);
    faults.m_paused = platform::boolField(object, "paused", false);
    faults.m_requestDelay = fleet::Duration(platform::nonNegativeField(object, "slowMs", 0));
    faults.m_responseDelay = fleet::Duration(platform::nonNegativeField(object, "lateMs", 0));
    faults.m_loseResponseEvery = platform::nonNegativeIntField(object, "loseEvery", 0);
    faults.m_swapResponses = platform::boolField(object, "crossed", false);
    faults.m_failTasks = platform::boolField(object, "failTasks", false);
    faults.m_freezeList = platform::boolField(object, "stale", false);
    faults.m_extraListLag = fleet::Duration(platform::nonNegativeField(object, "lagMs", 0));
    return request;
}

}
