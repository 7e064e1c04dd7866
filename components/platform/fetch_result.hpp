#ifndef COMPONENTS_PLATFORM_FETCH_RESULT_HPP
#define COMPONENTS_PLATFORM_FETCH_RESULT_HPP

#include "components/http/result.hpp"
#include "components/platform/decode_error.hpp"

#include <optional>
#include <string>

namespace platform
{

/// A value read with a GET request, or the reason why there is none.
template<class Value>
struct FetchResult
{
    std::optional<Value> m_value;
    std::string m_reason;
};

/// Decodes the response to a GET request; only a complete response with status 200 gives a value.
template<class Value>
FetchResult<Value> toFetchResult(const http::Result &result, Value (*decode)(std::string_view))
{
    constexpr int statusOk = 200;
    if (result.m_kind != http::ResultKind::Answered) {
        return {std::nullopt, result.m_reason};
    }
    if (result.m_response.m_status != statusOk) {
        return {std::nullopt, "answered with status " + std::to_string(result.m_response.m_status)};
    }
    try {
        return {decode(result.m_response.m_body), {}};
    } catch (const DecodeError &error) {
        return {std::nullopt, error.what()};
    }
}

}

#endif
