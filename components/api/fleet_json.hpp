#ifndef COMPONENTS_API_FLEET_JSON_HPP
#define COMPONENTS_API_FLEET_JSON_HPP

#include "components/fleet/account_policy.hpp"
#include "components/fleet/job_spec.hpp"

#include <boost/json/fwd.hpp>

#include <string_view>

namespace api
{

/// Conversions between the shared value types and JSON. Every `read` function throws Error on invalid input; the message
/// names the remedy.
boost::json::value toJson(const fleet::Resources &resources);
boost::json::value toJson(const fleet::Shape &shape);
boost::json::value toJson(const fleet::GuaranteedShape &guarantee);
boost::json::value toJson(const fleet::AccountPolicy &policy);
boost::json::value toJson(const fleet::JobSpec &spec);

fleet::Resources readResources(const boost::json::value &value);
fleet::Shape readShape(const boost::json::value &value);
fleet::GuaranteedShape readGuarantee(const boost::json::value &value);
/// Reads a job as declared by its caller. The receiver sets the submission time, and the id if the caller gave none.
fleet::JobSpec readJobSpec(const boost::json::value &value);

std::string_view adjacencyName(fleet::Adjacency adjacency);
std::string_view urgencyName(fleet::Urgency urgency);
fleet::Adjacency readAdjacency(std::string_view name);
fleet::Urgency readUrgency(std::string_view name);

/// @throws Error unless the text consists of 1 to 64 letters, digits, dots, dashes and underscores.
void checkName(std::string_view text, std::string_view what);

}

#endif
