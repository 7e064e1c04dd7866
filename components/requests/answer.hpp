#ifndef COMPONENTS_REQUESTS_ANSWER_HPP
#define COMPONENTS_REQUESTS_ANSWER_HPP

#include <cstdint>
#include <string>

namespace requests
{

enum class AnswerKind : std::uint8_t {
    /// The request ran and `m_body` is its complete answer.
    Done,
    /// The request did not run and will never run under this id.
    DidNotRun,
    /// The request may have run. Sending it again with the same id may give the outcome and never runs it twice.
    OutcomeUnknown,
};

/// The answer to a caller about its request.
struct Answer
{
    AnswerKind m_kind = AnswerKind::OutcomeUnknown;
    std::string m_body;
    /// Why there is no body and what the caller can do.
    std::string m_reason;

    bool operator==(const Answer &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_kind, m_body, m_reason);
    }
};

}

#endif
