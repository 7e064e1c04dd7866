#ifndef COMPONENTS_INSTANCE_CALLER_FRONT_HPP
#define COMPONENTS_INSTANCE_CALLER_FRONT_HPP

#include "components/http/request.hpp"
#include "components/http/responder.hpp"
#include "components/instance/event_queue.hpp"
#include "components/instance/events.hpp"
#include "components/instance/waiters.hpp"

#include <string>

namespace instance
{

/// Reads and authorizes the calls of callers and operators on the traffic threads and queues them for the control thread.
class CallerFront
{
public:
    /// Both references must outlive this object.
    CallerFront(std::string operatorToken, Waiters &waiters, EventQueue<Event> &queue);

    /// Answers a call that cannot be read or is not authorized at once.
    void handle(const http::Request &request, const http::Responder &respond) const;

private:
    std::string m_operatorToken;
    Waiters &m_waiters;
    EventQueue<Event> &m_queue;
};

}

#endif
