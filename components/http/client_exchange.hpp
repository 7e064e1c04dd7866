#ifndef COMPONENTS_HTTP_CLIENT_EXCHANGE_HPP
#define COMPONENTS_HTTP_CLIENT_EXCHANGE_HPP

#include "components/http/address.hpp"
#include "components/http/byte_count.hpp"
#include "components/http/client.hpp"
#include "components/http/client_connection.hpp"
#include "components/http/request.hpp"
#include "components/http/result.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace http
{

/// A pending request: connects if needed, writes the request, reads the response, and ends at the timeout at the latest.
/// Runs on the client's thread only.
class ClientExchange : public std::enable_shared_from_this<ClientExchange>
{
public:
    /// Called once at the end, with the connection if it can be reused and a null pointer otherwise.
    using ReleaseCallback = std::function<void(std::unique_ptr<ClientConnection>)>;

    ClientExchange(boost::asio::io_context &io, std::shared_ptr<ByteCount> byteCount, Address address, Request request, Client::Callback callback);

    void startTimeout(fleet::Duration timeout);
    /// Sends the request on the connection, which is opened first if it is closed.
    void run(std::unique_ptr<ClientConnection> connection, const ClientSettings &settings, ReleaseCallback onReleased);
    /// Ends the exchange with Unknown if writing the request has started, and with NotSent otherwise.
    void abort(const std::string &reason);

    bool ended() const;
    /// True if the exchange ended because no complete response arrived in time.
    bool hasTimedOut() const;
    bool isPost() const;
    const Address &address() const;

private:
    using Error = boost::beast::error_code;

    void connect(fleet::Duration unacknowledgedLimit);
    void write();
    void onWritten(const Error &error, std::size_t count);
    void read();
    void onRead(const Error &error);
    void end(Result result, bool reusable);
    void reportFailedCallback(const Client::Callback &callback, const std::string &reason);

    std::shared_ptr<ByteCount> m_byteCount;
    boost::asio::steady_timer m_timer;
    Address m_address;
    boost::beast::http::request<boost::beast::http::string_body> m_request;
    std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> m_parser;
    Client::Callback m_callback;
    ReleaseCallback m_onReleased;
    std::unique_ptr<ClientConnection> m_connection;
    bool m_isWriteStarted = false;
    bool m_ended = false;
    bool m_hasTimedOut = false;
};

}

#endif
