#include "components/http/address.hpp"

#include "components/http/address_error.hpp"

#include <arpa/inet.h>
#include <charconv>

namespace http
{

namespace
{

bool isIpv4(const std::string &host)
{
    in_addr parsed {};
    return inet_pton(AF_INET, host.c_str(), &parsed) == 1;
}

}

std::string toString(const Address &address)
{
    return address.m_host + ":" + std::to_string(address.m_port);
}

Address parseAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    Address address;
    bool valid = colon != std::string_view::npos;
    if (valid) {
        address.m_host = text.substr(0, colon);
        const char *end = text.data() + text.size();
        const auto [rest, error] = std::from_chars(text.data() + colon + 1, end, address.m_port);
        valid = error == std::errc() && rest == end && isIpv4(address.m_host);
    }
    if (!valid) {
        throw AddressError("'" + std::string(text) + "' is not an address; write it as 127.0.0.1:8080");
    }
    return address;
}

}
