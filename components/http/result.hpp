#ifndef COMPONENTS_HTTP_RESULT_HPP
#define COMPONENTS_HTTP_RESULT_HPP

#include "components/http/response.hpp"
#include "components/http/result_kind.hpp"

#include <string>

namespace http
{

/// Outcome of a request as the client observed it.
struct Result
{
    ResultKind m_kind = ResultKind::NotSent;
    /// Set only if m_kind is Answered.
    Response m_response;
    /// Why there is no response; empty if m_kind is Answered.
    std::string m_reason;

    bool operator==(const Result &) const = default;
};

}

#endif
