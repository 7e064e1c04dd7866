#ifndef COMPONENTS_HTTP_SERVER_SESSION_HPP
#define COMPONENTS_HTTP_SERVER_SESSION_HPP

#include "components/http/close_cause.hpp"
#include "components/http/connection_use.hpp"
#include "components/http/response.hpp"

#include <boost/asio/steady_timer.hpp>
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
    ~ServerSession();

    ServerSession(const ServerSession &) = delete;
    ServerSession &operator=(const ServerSession &) = delete;

    /// The number under which the server's budget accounts for this connection. Must be called before start().
    void setBudgetNumber(std::uint64_t number);
    void start();
    /// Closes the connection after the response to the request in flight, or after the linger time if there is none.
    void beginStop();
    /// Closes the connection immediately, also if a request is in flight.
    void closeNow();
    /// Closes the connection if no handler has its request; a request that is being read is refused. Safe from any thread.
    void closeForBudget(CloseCause cause);

private:
    using Error = boost::beast::error_code;

    void awaitRequest();
    void beginRequest();
    void parse();
    void parseInput();
    std::optional<CloseCause> exceededLimit() const;
    void readMore();
    void onRead(const Error &error, std::size_t count);
    SteadyTime readDeadline() const;
    void armReadDeadline();
    void rejectRequest(const Error &error);
    void refuse(CloseCause cause);
    void dispatch();
    void onHandlerDone(std::optional<Response> response, bool last);
    bool hasFurtherInput();
    void writeResponse(Response response, bool last);
    void onWritten(const Error &error, bool last);
    void drainInput();
    void releaseRequest();
    bool record(ConnectionPhase phase, bool isProgress);
    void end();

    std::shared_ptr<ServerCore> m_core;
    boost::beast::tcp_stream m_stream;
    boost::beast::flat_buffer m_buffer;
    std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> m_parser;
    boost::beast::http::response<boost::beast::http::string_body> m_response;
    boost::asio::steady_timer m_readTimer;
    std::uint64_t m_budgetNumber = 0;
    ConnectionPhase m_phase = ConnectionPhase::Idle;
    SteadyTime m_headerBegan;
    SteadyTime m_bodyBegan;
    std::size_t m_headerLines = 0;
    /// Bytes received of the body, including chunk headers and trailers.
    std::size_t m_bodyWireBytes = 0;
    /// Bytes of the body of the request that the handler has.
    std::size_t m_handledBytes = 0;
    /// Why the request that is being read has to be refused.
    std::optional<CloseCause> m_refusalCause;
    std::size_t m_drainedBytes = 0;
    bool m_isReading = false;
    bool m_idle = false;
    bool m_isRequestInFlight = false;
    bool m_ended = false;
};

}

#endif
