#ifndef COMPONENTS_STANDIN_ROUTES_HPP
#define COMPONENTS_STANDIN_ROUTES_HPP

#include <string_view>

namespace http
{
struct Request;
struct Response;
}

namespace standin
{

/// Returns true if the request has this method and path.
bool matchesRoute(const http::Request &request, std::string_view method, std::string_view path);

/// Response to a request for a path that is not served.
http::Response unknownPathResponse();

}

#endif
