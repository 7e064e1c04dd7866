#include "components/standin/fault_injector.hpp"

#include "components/standin/event_loop.hpp"

#include <utility>

namespace standin
{

namespace
{

/// Time after which an unanswered connection is closed. By then the caller has timed out.
constexpr fleet::Duration unansweredCloseDelay {60'000};

}

FaultInjector::FaultInjector(EventLoop &loop, std::optional<http::Response> downResponse)
    : m_loop(loop)
    , m_downResponse(std::move(downResponse))
{
}

const Faults &FaultInjector::faults() const
{
    return m_faults;
}

void FaultInjector::setFaults(const Faults &faults, fleet::TimePoint now)
{
    m_faults = faults;
    if (!m_faults.m_paused) {
        for (const auto &call : std::exchange(m_pausedCalls, {})) {
            execute(call, now);
        }
    }
    if (!m_faults.m_swapResponses) {
        sendUnswapped();
    }
}

void FaultInjector::handle(const http::Responder &responder, Handler handler, fleet::TimePoint now)
{
    const Call call {responder, std::move(handler)};
    if (m_faults.m_unresponsive) {
        leaveUnanswered(responder);
    } else if (m_faults.m_down && m_downResponse) {
        responder(*m_downResponse);
    } else if (m_faults.m_down) {
        responder.closeWithoutAnswer();
    } else if (m_faults.m_paused) {
        m_pausedCalls.push_back(call);
    } else if (m_faults.m_requestDelay.count() > 0) {
        m_loop.postAfter(m_faults.m_requestDelay, [this, call](fleet::TimePoint later) {
            execute(call, later);
        });
    } else {
        execute(call, now);
    }
}

void FaultInjector::execute(const Call &call, fleet::TimePoint now)
{
    call.m_handler(now, [this, responder = call.m_responder](http::Response response) {
        sendResponse(responder, std::move(response));
    });
}

void FaultInjector::sendResponse(const http::Responder &responder, http::Response response)
{
    ++m_responseCount;
    if (m_faults.m_loseResponseEvery > 0 && m_responseCount % m_faults.m_loseResponseEvery == 0) {
        responder.closeWithoutAnswer();
    } else if (m_faults.m_responseDelay.count() > 0) {
        m_loop.postAfter(m_faults.m_responseDelay, [this, responder, response = std::move(response)](fleet::TimePoint) {
            deliver(responder, response);
        });
    } else {
        deliver(responder, std::move(response));
    }
}

void FaultInjector::deliver(const http::Responder &responder, http::Response response)
{
    if (m_faults.m_swapResponses) {
        swapResponses(responder, std::move(response));
    } else {
        responder(std::move(response));
    }
}

void FaultInjector::swapResponses(const http::Responder &responder, http::Response response)
{
    if (!m_responseToSwap) {
        m_responseToSwap = {responder, std::move(response)};
        return;
    }
    m_responseToSwap->m_responder(std::move(response));
    responder(std::move(m_responseToSwap->m_response));
    m_responseToSwap.reset();
}

void FaultInjector::sendUnswapped()
{
    if (m_responseToSwap) {
        m_responseToSwap->m_responder(std::move(m_responseToSwap->m_response));
        m_responseToSwap.reset();
    }
}

void FaultInjector::leaveUnanswered(const http::Responder &responder)
{
    m_loop.postAfter(unansweredCloseDelay, [responder](fleet::TimePoint) {
        responder.closeWithoutAnswer();
    });
}

}
