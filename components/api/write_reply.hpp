#ifndef COMPONENTS_API_WRITE_REPLY_HPP
#define COMPONENTS_API_WRITE_REPLY_HPP

#include "components/api/replies.hpp"
#include "components/http/response.hpp"

namespace api
{

class Error;

/// The HTTP response of a reply: JSON, or text for the metrics.
http::Response toResponse(const Reply &reply);

Refusal toRefusal(const Error &error);

}

#endif
