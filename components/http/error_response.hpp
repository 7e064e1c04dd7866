#ifndef COMPONENTS_HTTP_ERROR_RESPONSE_HPP
#define COMPONENTS_HTTP_ERROR_RESPONSE_HPP

#include "components/http/response.hpp"

#include <string_view>

namespace http
{

/// Creates the JSON response `{"error": kind, "message": message}`. Neither text may contain characters that JSON escapes.
Response errorResponse(int status, std::string_view kind, std::string_view message);

}

#endif
