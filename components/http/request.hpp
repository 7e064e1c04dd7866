#ifndef COMPONENTS_HTTP_REQUEST_HPP
#define COMPONENTS_HTTP_REQUEST_HPP

#include "components/http/header.hpp"

#include <string>
#include <vector>

namespace http
{

/// A whole request. Host, length and connection fields are added by the client.
struct Request
{
    std::string m_method = "GET";
    /// Path and query as they stand in the request line.
    std::string m_target = "/";
    std::vector<Header> m_headers;
    std::string m_body;

    bool operator==(const Request &) const = default;
};

}

#endif
