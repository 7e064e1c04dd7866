#ifndef COMPONENTS_REQUESTS_ANSWER_HPP
#define COMPONENTS_REQUESTS_ANSWER_HPP

#include <cstdint>
#include <string>

namespace requests
{

enum class AnswerKind : std::uint8_t {
    /// The request ran and `m_body` is its whole answer.
    Done,
    /// The request did not run and never will under this id.
    DidNotRun,
    /// The request may have run. Asking again with the same id may tell more and never runs it a second time.
    OutcomeUnknown,
};

/// What a caller is told about its request.
struct Answer
{
    AnswerKind m_kind = AnswerKind::OutcomeUnknown;
    std::string m_body;
    /// Why there is no body, and what the caller can do.
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
