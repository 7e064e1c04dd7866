#include "components/http/server.hpp"

#include "components/http/server_core.hpp"

#include <utility>

namespace http
{

Server::Server(const ServerSettings &settings, Handler handler)
    : m_core(std::make_shared<ServerCore>(settings, std::move(handler)))
{
    m_core->start();
}

Server::~Server()
{
    m_core->stop(fleet::Duration(0));
}

std::uint16_t Server::port() const
{
    return m_core->port();
}

std::size_t Server::inFlight() const
{
    return m_core->inFlight();
}

void Server::beginStop()
{
    m_core->beginStop();
}

bool Server::stop(fleet::Duration limit)
{
    return m_core->stop(limit);
}

}
