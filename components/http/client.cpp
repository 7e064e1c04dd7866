#include "components/http/client.hpp"

#include "components/http/client_core.hpp"

#include <utility>

namespace http
{

Client::Client(const ClientSettings &settings)
    : m_core(std::make_shared<ClientCore>(settings))
{
}

Client::~Client()
{
    m_core->stop();
}

void Client::send(const Address &target, Request request, fleet::Duration timeout, Callback callback)
{
    m_core->send(target, std::move(request), timeout, std::move(callback));
}

const ByteCount &Client::byteCount() const
{
    return m_core->byteCount();
}

}
