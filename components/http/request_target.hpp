#ifndef COMPONENTS_HTTP_REQUEST_TARGET_HPP
#define COMPONENTS_HTTP_REQUEST_TARGET_HPP

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace http
{

struct Request;
struct Response;

/// The path of a request target, without the query.
std::string_view pathOf(std::string_view target);

/// The percent-decoded segments of the path: "v1", "jobs", "a b" for "/v1/jobs/a%20b".
std::vector<std::string> pathSegments(std::string_view target);

/// The percent-decoded value of a query parameter; nothing if it is absent.
std::optional<std::string> queryValue(std::string_view target, std::string_view name);

/// Percent-encodes a text for use as one path segment or query value.
std::string percentEncode(std::string_view text);

/// The value of a header field, whose name is compared case-insensitively; nothing if it is absent.
std::optional<std::string> headerValue(const Request &request, std::string_view name);
std::optional<std::string> headerValue(const Response &response, std::string_view name);

}

#endif
