#ifndef COMPONENTS_SETTINGS_ENDPOINT_HPP
#define COMPONENTS_SETTINGS_ENDPOINT_HPP

#include <compare>
#include <cstdint>
#include <string>

namespace settings
{

/// An IP address and a port.
struct Endpoint
{
    std::string m_address;
    std::uint16_t m_port = 0;

    auto operator<=>(const Endpoint &) const = default;
};

/// "address:port"
std::string toString(const Endpoint &endpoint);

}

#endif
