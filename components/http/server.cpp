#include "components/http/server.hpp"

#include "components/http/io_thread.hpp"
#include "components/http/server_core.hpp"

#include <utility>

namespace http
{

Server::Server(const ServerSettings &settings, Handler handler)
    : Server(settings, std::move(handler), std::make_shared<IoThread>(settings.m_threads))
{
}

Server::Server(const ServerSettings &settings, Handler handler, std::shared_ptr<IoThread> thread)
    : m_thread(std::move(thread))
    , m_core(std::make_shared<ServerCore>(settings, std::move(handler), m_thread->context()))
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

std::size_t Server::openConnections() const
{
    return m_core->openConnections();
}

std::size_t Server::inFlight() const
{
    return m_core->inFlight();
}

void Server::beginStop()
{
    m_core->beginStop();
}

bool Server::isDrained() const
{
    return m_core->isDrained();
}

bool Server::stop(fleet::Duration limit)
{
    return m_core->stop(limit);
}

}
