#include "components/instance/waiters.hpp"

namespace instance
{

requests::WaiterId Waiters::add(const http::Responder &responder)
{
    const std::lock_guard lock(m_mutex);
    const requests::WaiterId id {++m_last};
    m_waiting.emplace(id, responder);
    return id;
}

std::optional<http::Responder> Waiters::take(requests::WaiterId waiter)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_waiting.find(waiter);
    if (found == m_waiting.end()) {
        return std::nullopt;
    }
    std::optional<http::Responder> responder(std::move(found->second));
    m_waiting.erase(found);
    return responder;
}

std::size_t Waiters::count() const
{
    const std::lock_guard lock(m_mutex);
    return m_waiting.size();
}

}
