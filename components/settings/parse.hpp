#ifndef COMPONENTS_SETTINGS_PARSE_HPP
#define COMPONENTS_SETTINGS_PARSE_HPP

#include "components/fleet/time.hpp"
#include "components/logging/level.hpp"
#include "components/settings/endpoint.hpp"

#include <optional>
#include <string>

namespace settings
{

/// Parses a number and a unit (ms, s, min, h or d) with a blank between them. Returns nothing for any other text.
std::optional<fleet::Duration> parseDuration(const std::string &text);

/// Parses an IPv4 address, or an IPv6 address in brackets, and a port. Returns nothing for any other text.
std::optional<Endpoint> parseEndpoint(const std::string &text);

std::optional<logging::Level> parseLevel(const std::string &text);

}

#endif
