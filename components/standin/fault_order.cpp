#include "components/standin/fault_order.hpp"

#include "components/platform/json_fields.hpp"

#include <boost/json/value.hpp>

namespace standin
{

FaultOrder decodeFaultOrder(std::string_view text)
{
    const auto object = platform::parseObject(text);
    platform::rejectUnknownFields(object, {"target", "down", "silent", "paused", "slowMs", "lateMs", "loseEvery", "crossed", "failTasks", "stale", "lagMs"});
    FaultOrder order;
    order.m_target = platform::stringField(object, "target");
    auto &faults = order.m_faults;
    faults.m_down = platform::boolField(object, "down", false);
    faults.m_silent = platform::boolField(object, "silent", false);
    faults.m_paused = platform::boolField(object, "paused", false);
    faults.m_slow = fleet::Duration(platform::nonNegativeField(object, "slowMs", 0));
    faults.m_late = fleet::Duration(platform::nonNegativeField(object, "lateMs", 0));
    faults.m_loseEvery = platform::nonNegativeIntField(object, "loseEvery", 0);
    faults.m_crossed = platform::boolField(object, "crossed", false);
    faults.m_failTasks = platform::boolField(object, "failTasks", false);
    faults.m_stale = platform::boolField(object, "stale", false);
    faults.m_lag = fleet::Duration(platform::nonNegativeField(object, "lagMs", 0));
    return order;
}

}
