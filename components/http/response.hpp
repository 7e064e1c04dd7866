#ifndef COMPONENTS_HTTP_RESPONSE_HPP
#define COMPONENTS_HTTP_RESPONSE_HPP

#include "components/http/header.hpp"

#include <string>
#include <vector>

namespace http
{

/// An HTTP response. The server adds the Content-Length field and, where the connection is closed, the Connection field.
struct Response
{
    int m_status = 200;
    std::string m_body;
    std::string m_contentType = "application/json";
    std::vector<Header> m_headers;

    bool operator==(const Response &) const = default;
};

}

#endif
