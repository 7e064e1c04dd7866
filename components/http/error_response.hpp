#ifndef COMPONENTS_HTTP_ERROR_RESPONSE_HPP
#define COMPONENTS_HTTP_ERROR_RESPONSE_HPP

#include "components/http/response.hpp"

#include <string_view>

namespace http
{

/// A JSON answer `{"error": kind, "message": message}`. Neither text may need escaping in JSON.
Response errorResponse(int status, std::string_view kind, std::string_view message);

}

#endif
