#include "components/http/client_connection.hpp"

#include <cerrno>
#include <sys/socket.h>

namespace http
{

bool isReusable(ClientConnection &connection)
{
    if (connection.m_buffer.size() > 0) {
        return false;
    }
    char byte = 0;
    const auto count = ::recv(connection.m_socket.native_handle(), &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

}
