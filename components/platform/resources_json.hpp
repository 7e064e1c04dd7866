#ifndef COMPONENTS_PLATFORM_RESOURCES_JSON_HPP
#define COMPONENTS_PLATFORM_RESOURCES_JSON_HPP

#include "components/fleet/resources.hpp"

#include <boost/json/fwd.hpp>

namespace platform
{

/// Adds the processor, memory and accelerator amounts to a JSON object.
void addResources(boost::json::object &object, const fleet::Resources &resources);

/// @throws DecodeError
fleet::Resources decodeResources(const boost::json::object &object);

}

#endif
