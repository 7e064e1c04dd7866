#ifndef COMPONENTS_SETTINGS_PARSE_HPP
#define COMPONENTS_SETTINGS_PARSE_HPP

#include "components/fleet/time.hpp"
#include "components/logging/level.hpp"
#include "components/settings/endpoint.hpp"

#include <optional>
#include <string>

namespace settings
{

/// A number and one of the units ms, s, min, h or d; nothing where the text is anything else.
std::optional<fleet::Duration> parseDuration(const std::string &text);

/// An IPv4 number, or an IPv6 number in brackets, and a port; nothing where the text is anything else.
std::optional<Endpoint> parseEndpoint(const std::string &text);

std::optional<logging::Level> parseLevel(const std::string &text);

}

#endif
