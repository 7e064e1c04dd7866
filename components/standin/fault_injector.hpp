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

/// Applies the active faults to the requests of one service and to its responses.
/// May only be used on the event loop's thread.
class FaultInjector
{
public:
    using Reply = std::function<void(http::Response)>;
    /// Serves the request and calls `reply` once, immediately or later, on the event loop's thread.
    using Handler = std::function<void(fleet::TimePoint now, const Reply &reply)>;

    /// `downResponse` is sent while the service is down. If it is empty, the connection is closed instead.
    FaultInjector(EventLoop &loop, std::optional<http::Response> downResponse);

    const Faults &faults() const;
    /// Replaces the active faults. If this ends a pause, the requests that arrived during it are served now.
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
