#ifndef COMPONENTS_HTTP_HEADER_HPP
#define COMPONENTS_HTTP_HEADER_HPP

#include <string>

namespace http
{

/// One header field of a message.
struct Header
{
    std::string m_name;
    std::string m_value;

    bool operator==(const Header &) const = default;
};

}

#endif
