#ifndef COMPONENTS_API_CONFIGURATION_JSON_HPP
#define COMPONENTS_API_CONFIGURATION_JSON_HPP

#include "components/configuration/configuration.hpp"

#include <boost/json/fwd.hpp>

namespace api
{

/// Converts the configuration to JSON. `now` decides which exceptions are shown as in force.
boost::json::value toJson(const configuration::Configuration &configuration, fleet::TimePoint now);

}

#endif
