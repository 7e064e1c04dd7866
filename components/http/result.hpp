#ifndef COMPONENTS_HTTP_RESULT_HPP
#define COMPONENTS_HTTP_RESULT_HPP

#include "components/http/response.hpp"
#include "components/http/result_kind.hpp"

#include <string>

namespace http
{

/// The end of one exchange as the client saw it.
struct Result
{
    ResultKind m_kind = ResultKind::NotSent;
    /// Set only where m_kind is Answered.
    Response m_response;
    /// Why there is no answer; empty where m_kind is Answered.
    std::string m_reason;

    bool operator==(const Result &) const = default;
};

}

#endif
