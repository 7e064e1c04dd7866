#ifndef COMPONENTS_INSTANCE_CALL_HANDLER_HPP
#define COMPONENTS_INSTANCE_CALL_HANDLER_HPP

#include "components/http/request.hpp"
#include "components/http/responder.hpp"
#include "components/instance/event_queue.hpp"
#include "components/instance/events.hpp"
#include "components/instance/waiters.hpp"

#include <string>

namespace instance
{

/// Parses and authorizes the calls of callers and operators on the traffic threads and queues them for the control thread.
class CallHandler
{
public:
    /// Both references must outlive this object.
    CallHandler(std::string operatorToken, Waiters &waiters, EventQueue<Event> &queue);

    /// Queues the call. A call that cannot be parsed or is not authorized is answered with an error immediately.
    void handle(const http::Request &request, const http::Responder &respond) const;

private:
    std::string m_operatorToken;
    Waiters &m_waiters;
    EventQueue<Event> &m_queue;
};

}

#endif
