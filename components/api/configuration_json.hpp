#ifndef COMPONENTS_API_CONFIGURATION_JSON_HPP
#define COMPONENTS_API_CONFIGURATION_JSON_HPP

#include "components/configuration/configuration.hpp"

#include <boost/json/fwd.hpp>

namespace api
{

/// JSON form of the configuration; `now` tells which exceptions are in force.
boost::json::value toJson(const configuration::Configuration &configuration, fleet::TimePoint now);

}

#endif
