#include "components/api/authorize.hpp"

#include "components/http/request.hpp"
#include "components/http/request_target.hpp"

#include <openssl/crypto.h>

#include <optional>
#include <string>

namespace api
{

namespace
{

constexpr std::string_view scheme = "Bearer ";

}

bool isAuthorized(const http::Request &request, std::string_view token)
{
    const std::optional<std::string> header = http::headerValue(request, "Authorization");
    if (token.empty() || !header || !header->starts_with(scheme)) {
        return false;
    }
    const std::string_view given = std::string_view(*header).substr(scheme.size());
    return given.size() == token.size() && CRYPTO_memcmp(given.data(), token.data(), token.size()) == 0;
}

}
