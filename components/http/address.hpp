#ifndef COMPONENTS_HTTP_ADDRESS_HPP
#define COMPONENTS_HTTP_ADDRESS_HPP

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace http
{

/// An IP address and a port.
struct Address
{
    std::string m_host;
    std::uint16_t m_port = 0;

    auto operator<=>(const Address &) const = default;
};

/// Formats the address as "127.0.0.1:8080".
std::string toString(const Address &address);

/// Parses an address in the form "127.0.0.1:8080".
/// @throws AddressError if the text is not an IPv4 address and a port.
Address parseAddress(std::string_view text);

}

#endif
