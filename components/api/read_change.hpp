#ifndef COMPONENTS_API_READ_CHANGE_HPP
#define COMPONENTS_API_READ_CHANGE_HPP

#include "components/configuration/change.hpp"

#include <boost/json/fwd.hpp>

#include <string>

namespace api
{

/// Body of PUT /v1/accounts/{account}.
configuration::Change readPutAccount(const std::string &account, const boost::json::value &body);
/// Body of POST /v1/accounts/{account}/remove.
configuration::Change readRemoveAccount(const std::string &account, const boost::json::value &body);
/// Body of PUT /v1/defaults.
configuration::Change readSetDefaults(const boost::json::value &body);
/// Body of PUT /v1/exceptions/{id}.
configuration::Change readPutException(const std::string &id, const boost::json::value &body);
/// Body of POST /v1/exceptions/{id}/remove.
configuration::Change readRemoveException(const std::string &id, const boost::json::value &body);
/// Body of POST /v1/zones/{zone}/out.
configuration::Change readTakeZoneOut(const std::string &zone, const boost::json::value &body);
/// Body of POST /v1/zones/{zone}/back.
configuration::Change readReturnZone(const std::string &zone, const boost::json::value &body);

}

#endif
