#ifndef COMPONENTS_API_WRITE_REPLY_HPP
#define COMPONENTS_API_WRITE_REPLY_HPP

#include "components/api/replies.hpp"
#include "components/http/response.hpp"

namespace api
{

class Error;

/// Converts a reply to an HTTP response: JSON, except for the metrics and for reports as text or HTML.
http::Response toResponse(const Reply &reply);

Refusal toRefusal(const Error &error);

}

#endif
