#ifndef COMPONENTS_HTTP_RESPONDER_HPP
#define COMPONENTS_HTTP_RESPONDER_HPP

#include <functional>
#include <memory>
#include <optional>

namespace http
{

struct Response;

/// Answers one request, from any thread. Copies share the answer: the first call counts and later ones do nothing.
/// Where every copy is destroyed without a call, the caller is sent status 500.
class Responder
{
public:
    /// Without a response the connection is closed unanswered.
    using Send = std::function<void(std::optional<Response>)>;

    explicit Responder(Send send);

    void operator()(Response response) const;
    /// Closes the connection without an answer.
    void closeWithoutAnswer() const;

private:
    class SingleAnswer;
    std::shared_ptr<SingleAnswer> m_answer;
};

}

#endif
