#ifndef COMPONENTS_API_AUTHORIZE_HPP
#define COMPONENTS_API_AUTHORIZE_HPP

#include <string_view>

namespace http
{
struct Request;
}

namespace api
{

/// True where the request carries `Authorization: Bearer <token>`. The time taken does not depend on where the tokens
/// differ. An empty `token` authorizes nobody.
bool isAuthorized(const http::Request &request, std::string_view token);

}

#endif
