#include "components/instance/call_handler.hpp"

#include "components/api/authorize.hpp"
#include "components/api/error.hpp"
#include "components/api/read_call.hpp"
#include "components/api/write_reply.hpp"

#include <utility>

namespace instance
{

CallHandler::CallHandler(std::string operatorToken, Waiters &waiters, EventQueue<Event> &queue)
    : m_operatorToken(std::move(operatorToken))
    , m_waiters(waiters)
    , m_queue(queue)
{
}

void CallHandler::handle(const http::Request &request, const http::Responder &respond) const
{
    try {
        api::Call call = api::readCall(request);
        if (api::isOperatorCall(call) && !api::isAuthorized(request, m_operatorToken)) {
            throw api::Error(api::ErrorKind::Unauthorized, "the operator token is missing or wrong; send 'Authorization: Bearer <token>'");
        }
        m_queue.push(CallReceived {m_waiters.add(respond), std::move(call)});
    } catch (const api::Error &error) {
        respond(api::toResponse(api::toRefusal(error)));
    }
}

}
