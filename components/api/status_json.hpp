#ifndef COMPONENTS_API_STATUS_JSON_HPP
#define COMPONENTS_API_STATUS_JSON_HPP

#include <boost/json/fwd.hpp>

namespace api
{

struct StatusView;

boost::json::value toJson(const StatusView &status);

}

#endif
