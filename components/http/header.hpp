#ifndef COMPONENTS_HTTP_HEADER_HPP
#define COMPONENTS_HTTP_HEADER_HPP

#include <string>

namespace http
{

/// A header field of an HTTP message.
struct Header
{
    std::string m_name;
    std::string m_value;

    bool operator==(const Header &) const = default;
};

}

#endif
