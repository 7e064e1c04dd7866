#include "components/http/client.hpp"

#include "components/http/client_core.hpp"
#include "components/http/io_thread.hpp"

#include <utility>

namespace http
{

Client::Client(const ClientSettings &settings)
    : Client(settings, std::make_shared<IoThread>())
{
}

Client::Client(const ClientSettings &settings, std::shared_ptr<IoThread> thread)
    : m_thread(std::move(thread))
    , m_core(std::make_shared<ClientCore>(settings, m_thread->context()))
{
    m_core->start();
}

Client::~Client()
{
    m_core->stop();
}

void Client::send(const Address &address, Request request, fleet::Duration timeout, Callback callback)
{
    m_core->send(address, std::move(request), timeout, std::move(callback));
}

const ByteCount &Client::byteCount() const
{
    return m_core->byteCount();
}

}
