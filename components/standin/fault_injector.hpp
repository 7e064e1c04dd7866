#ifndef COMPONENTS_STANDIN_FAULT_INJECTOR_HPP
#define COMPONENTS_STANDIN_FAULT_INJECTOR_HPP

#include "components/fleet/time.hpp"
#include "components/http/responder.hpp"
#include "components/http/response.hpp"
#include "components/standin/faults.hpp"

#include <functional>
#include <optional>
#include <vector>

namespace standin
{

class EventLoop;

/// Stands between the calls to one service and their effect, and applies the faults in force.
/// Used on the event loop's thread only.
class FaultInjector
{
public:
    using Reply = std::function<void(http::Response)>;
    /// Takes effect, and answers at once or later on the loop.
    using Handler = std::function<void(fleet::TimePoint now, const Reply &reply)>;

    /// `downResponse` answers while the service is down; without one the connection is closed.
    FaultInjector(EventLoop &loop, std::optional<http::Response> downResponse);

    const Faults &faults() const;
    /// Puts faults in force; calls held by a pause that ended take effect now.
    void setFaults(const Faults &faults, fleet::TimePoint now);

    void handle(const http::Responder &responder, Handler handler, fleet::TimePoint now);

private:
    struct Call
    {
        http::Responder m_responder;
        Handler m_handler;
    };

    struct PendingResponse
    {
        http::Responder m_responder;
        http::Response m_response;
    };

    void execute(const Call &call, fleet::TimePoint now);
    void sendResponse(const http::Responder &responder, http::Response response);
    void deliver(const http::Responder &responder, http::Response response);
    void swapResponses(const http::Responder &responder, http::Response response);
    void sendUnswapped();
    void leaveUnanswered(const http::Responder &responder);

    EventLoop &m_loop;
    std::optional<http::Response> m_downResponse;
    Faults m_faults;
    std::vector<Call> m_pausedCalls;
    std::optional<PendingResponse> m_responseToSwap;
    int m_responseCount = 0;
};

}

#endif
