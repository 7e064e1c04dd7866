#ifndef COMPONENTS_API_READ_CALL_HPP
#define COMPONENTS_API_READ_CALL_HPP

#include "components/api/call.hpp"

namespace http
{
struct Request;
}

namespace api
{

/// Reads one HTTP request as a call under /v1.
/// @throws Error of kind NotFound, MethodNotAllowed, BadRequest or Invalid; the message names the remedy.
Call readCall(const http::Request &request);

}

#endif
