#include "components/http/responder.hpp"

#include "components/http/error_response.hpp"
#include "components/http/response.hpp"

#include <atomic>
#include <utility>

namespace http
{

class Responder::Once
{
public:
    explicit Once(Send send)
        : m_send(std::move(send))
    {
    }

    Once(const Once &) = delete;
    Once &operator=(const Once &) = delete;

    ~Once()
    {
        send(errorResponse(500, "internal", "the request was dropped without an answer; report it to the operators"));
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
    : m_once(std::make_shared<Once>(std::move(send)))
{
}

void Responder::operator()(Response response) const
{
    m_once->send(std::move(response));
}

void Responder::cut() const
{
    m_once->send(std::nullopt);
}

}
