#include "components/http/responder.hpp"

#include "components/http/error_response.hpp"
#include "components/http/response.hpp"

#include <atomic>
#include <utility>

namespace http
{

class Responder::SingleAnswer
{
public:
    explicit SingleAnswer(Send send)
        : m_send(std::move(send))
    {
    }

    SingleAnswer(const SingleAnswer &) = delete;
    SingleAnswer &operator=(const SingleAnswer &) = delete;

    ~SingleAnswer()
    {
        send(errorResponse(500, "internal", "the request handler did not answer; report it to the operators"));
    }

    void send(std::optional<Response> response)
    {
        if (!m_answered.exchange(true)) {
            m_send(std::move(response));
        }
    }

private:
    std::atomic<bool> m_answered {false};
    Send m_send;
};

Responder::Responder(Send send)
    : m_answer(std::make_shared<SingleAnswer>(std::move(send)))
{
}

void Responder::operator()(Response response) const
{
    m_answer->send(std::move(response));
}

void Responder::closeWithoutAnswer() const
{
    m_answer->send(std::nullopt);
}

}
