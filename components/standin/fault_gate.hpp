#ifndef COMPONENTS_STANDIN_FAULT_GATE_HPP
#define COMPONENTS_STANDIN_FAULT_GATE_HPP

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
class FaultGate
{
public:
    using Reply = std::function<void(http::Response)>;
    /// Takes effect, and answers at once or later on the loop.
    using Effect = std::function<void(fleet::TimePoint now, const Reply &reply)>;

    /// `downResponse` answers while the service is down; without one the connection is closed.
    FaultGate(EventLoop &loop, std::optional<http::Response> downResponse);

    const Faults &faults() const;
    /// Puts faults in force; calls held by a pause that ended take effect now.
    void set(const Faults &faults, fleet::TimePoint now);

    void pass(const http::Responder &responder, Effect effect, fleet::TimePoint now);

private:
    struct Call
    {
        http::Responder m_responder;
        Effect m_effect;
    };

    struct Answer
    {
        http::Responder m_responder;
        http::Response m_response;
    };

    void takeEffect(const Call &call, fleet::TimePoint now);
    void answer(const http::Responder &responder, http::Response response);
    void send(const http::Responder &responder, http::Response response);
    void exchange(const http::Responder &responder, http::Response response);
    void releaseUncrossed();
    void holdSilently(const http::Responder &responder);

    EventLoop &m_loop;
    std::optional<http::Response> m_downResponse;
    Faults m_faults;
    std::vector<Call> m_held;
    std::optional<Answer> m_waitingForExchange;
    int m_calls = 0;
};

}

#endif
