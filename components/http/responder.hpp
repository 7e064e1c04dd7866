#ifndef COMPONENTS_HTTP_RESPONDER_HPP
#define COMPONENTS_HTTP_RESPONDER_HPP

#include <functional>
#include <memory>
#include <optional>

namespace http
{

struct Response;

/// Answers one request, from any thread. Copies refer to the same request: only the first call has an effect. If all copies are
/// destroyed without a call, status 500 is sent.
class Responder
{
public:
    /// If there is no response, the connection is closed without an answer.
    using Send = std::function<void(std::optional<Response>)>;

    explicit Responder(Send send);

    void operator()(Response response) const;
    void closeWithoutAnswer() const;

private:
    class SingleAnswer;
    std::shared_ptr<SingleAnswer> m_answer;
};

}

#endif
