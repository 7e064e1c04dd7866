#ifndef COMPONENTS_API_AUTHORIZE_HPP
#define COMPONENTS_API_AUTHORIZE_HPP

#include <string_view>

namespace http
{
struct Request;
}

namespace api
{

/// True if the request has the header `Authorization: Bearer <token>`. The comparison takes constant time for tokens of
/// equal length. An empty `token` authorizes nobody.
bool isAuthorized(const http::Request &request, std::string_view token);

}

#endif
