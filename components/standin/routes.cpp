#include "components/standin/routes.hpp"

#include "components/http/error_response.hpp"
#include "components/http/request.hpp"
#include "components/http/request_target.hpp"

namespace standin
{

bool matchesRoute(const http::Request &request, std::string_view method, std::string_view path)
{
    return request.m_method == method && http::pathOf(request.m_target) == path;
}

http::Response unknownPathResponse()
{
    return http::errorResponse(404, "unknown-path", "no such path; see docs/platform-protocol.md");
}

}
