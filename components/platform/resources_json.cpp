#include "components/platform/resources_json.hpp"

#include "components/platform/json_fields.hpp"

#include <boost/json/value.hpp>

namespace platform
{

void addResources(boost::json::object &object, const fleet::Resources &resources)
{
    object["milliCores"] = resources.m_milliCores;
    object["memoryMb"] = resources.m_memoryMb;
    object["accelerators"] = resources.m_accelerators;
}

fleet::Resources decodeResources(const boost::json::object &object)
{
    return {nonNegativeField(object, "milliCores"), nonNegativeField(object, "memoryMb"), nonNegativeField(object, "accelerators")};
}

}
