#ifndef COMPONENTS_HTTP_SERVER_SESSION_HPP
#define COMPONENTS_HTTP_SERVER_SESSION_HPP

#include "components/http/response.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstddef>
#include <memory>
#include <optional>

namespace http
{

class ServerCore;

/// A connection of a server. Repeatedly reads a request, passes it to the handler and writes the response.
/// All members are accessed on the connection's strand only.
class ServerSession : public std::enable_shared_from_this<ServerSession>
{
public:
    ServerSession(std::shared_ptr<ServerCore> core, boost::asio::ip::tcp::socket socket);

    void start();
    /// Closes the connection after the response to the request in flight, or after the linger time if there is none.
    void beginStop();
    /// Closes the connection immediately, also if a request is in flight.
    void closeNow();

private:
    using Error = boost::beast::error_code;

    void awaitRequest();
    void readHeader();
    void readBody();
    void rejectRequest(const Error &error);
    void dispatch();
    void onHandlerDone(std::optional<Response> response, bool last);
    bool hasFurtherInput();
    void writeResponse(Response response, bool last);
    void onWritten(const Error &error, bool last);
    void drainInput();
    void end();

    std::shared_ptr<ServerCore> m_core;
    boost::beast::tcp_stream m_stream;
    boost::beast::flat_buffer m_buffer;
    std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> m_parser;
    boost::beast::http::response<boost::beast::http::string_body> m_response;
    std::size_t m_drainedBytes = 0;
    bool m_idle = false;
    bool m_isRequestInFlight = false;
    bool m_ended = false;
};

}

#endif
