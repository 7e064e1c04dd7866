#ifndef COMPONENTS_HTTP_REQUEST_HPP
#define COMPONENTS_HTTP_REQUEST_HPP

#include "components/http/header.hpp"

#include <string>
#include <vector>

namespace http
{

/// An HTTP request. The client adds the Host and Content-Length fields.
struct Request
{
    std::string m_method = "GET";
    /// Path and query, encoded as in the request line.
    std::string m_target = "/";
    std::vector<Header> m_headers;
    std::string m_body;

    bool operator==(const Request &) const = default;
};

}

#endif
