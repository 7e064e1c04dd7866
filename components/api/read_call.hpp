#ifndef COMPONENTS_API_READ_CALL_HPP
#define COMPONENTS_API_READ_CALL_HPP

#include "components/api/call.hpp"

namespace http
{
struct Request;
}

namespace api
{

/// Parses an HTTP request into a call.
/// @throws Error of kind NotFound, MethodNotAllowed, BadRequest or Invalid; the message names the remedy.
Call readCall(const http::Request &request);

}

#endif
