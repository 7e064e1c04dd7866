#include "components/standin/fault_gate.hpp"

#include "components/standin/event_loop.hpp"

#include <utility>

namespace standin
{

namespace
{

/// A connection that gets no answer is closed after this long, when its caller has given up.
constexpr fleet::Duration silenceLength {60'000};

}

FaultGate::FaultGate(EventLoop &loop, std::optional<http::Response> downResponse)
    : m_loop(loop)
    , m_downResponse(std::move(downResponse))
{
}

const Faults &FaultGate::faults() const
{
    return m_faults;
}

void FaultGate::set(const Faults &faults, fleet::TimePoint now)
{
    m_faults = faults;
    if (!m_faults.m_paused) {
        for (const auto &call : std::exchange(m_held, {})) {
            takeEffect(call, now);
        }
    }
    if (!m_faults.m_crossed) {
        releaseUncrossed();
    }
}

void FaultGate::pass(const http::Responder &responder, Effect effect, fleet::TimePoint now)
{
    const Call call {responder, std::move(effect)};
    if (m_faults.m_silent) {
        holdSilently(responder);
    } else if (m_faults.m_down && m_downResponse) {
        responder(*m_downResponse);
    } else if (m_faults.m_down) {
        responder.closeWithoutAnswer();
    } else if (m_faults.m_paused) {
        m_held.push_back(call);
    } else if (m_faults.m_slow.count() > 0) {
        m_loop.postAfter(m_faults.m_slow, [this, call](fleet::TimePoint later) {
            takeEffect(call, later);
        });
    } else {
        takeEffect(call, now);
    }
}

void FaultGate::takeEffect(const Call &call, fleet::TimePoint now)
{
    call.m_effect(now, [this, responder = call.m_responder](http::Response response) {
        answer(responder, std::move(response));
    });
}

void FaultGate::answer(const http::Responder &responder, http::Response response)
{
    ++m_calls;
    if (m_faults.m_loseEvery > 0 && m_calls % m_faults.m_loseEvery == 0) {
        responder.closeWithoutAnswer();
    } else if (m_faults.m_late.count() > 0) {
        m_loop.postAfter(m_faults.m_late, [this, responder, response = std::move(response)](fleet::TimePoint) {
            send(responder, response);
        });
    } else {
        send(responder, std::move(response));
    }
}

void FaultGate::send(const http::Responder &responder, http::Response response)
{
    if (m_faults.m_crossed) {
        exchange(responder, std::move(response));
    } else {
        responder(std::move(response));
    }
}

void FaultGate::exchange(const http::Responder &responder, http::Response response)
{
    if (!m_waitingForExchange) {
        m_waitingForExchange = {responder, std::move(response)};
        return;
    }
    m_waitingForExchange->m_responder(std::move(response));
    responder(std::move(m_waitingForExchange->m_response));
    m_waitingForExchange.reset();
}

void FaultGate::releaseUncrossed()
{
    if (m_waitingForExchange) {
        m_waitingForExchange->m_responder(std::move(m_waitingForExchange->m_response));
        m_waitingForExchange.reset();
    }
}

void FaultGate::holdSilently(const http::Responder &responder)
{
    m_loop.postAfter(silenceLength, [responder](fleet::TimePoint) {
        responder.closeWithoutAnswer();
    });
}

}
