#include "components/http/client_exchange.hpp"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <exception>
#include <netinet/tcp.h>
#include <utility>

namespace http
{

namespace beasthttp = boost::beast::http;

namespace
{

beasthttp::request<beasthttp::string_body> toMessage(const Address &target, Request request)
{
    beasthttp::request<beasthttp::string_body> message;
    message.method_string(request.m_method);
    message.target(request.m_target);
    message.version(11);
    message.set(beasthttp::field::host, toString(target));
    for (const auto &header : request.m_headers) {
        message.set(header.m_name, header.m_value);
    }
    message.body() = std::move(request.m_body);
    message.prepare_payload();
    return message;
}

Response toResponse(beasthttp::response<beasthttp::string_body> message)
{
    Response response;
    response.m_status = static_cast<int>(message.result_int());
    response.m_contentType = std::string(message[beasthttp::field::content_type]);
    for (const auto &field : message) {
        response.m_headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    response.m_body = std::move(message.body());
    return response;
}

}

ClientExchange::ClientExchange(boost::asio::io_context &io, std::shared_ptr<ByteCount> byteCount, Address address, Request request, Client::Callback callback)
    : m_byteCount(std::move(byteCount))
    , m_timer(io)
    , m_address(std::move(address))
    , m_request(toMessage(m_address, std::move(request)))
    , m_callback(std::move(callback))
{
}

void ClientExchange::startTimeout(fleet::Duration timeout)
{
    m_timer.expires_after(timeout);
    m_timer.async_wait([self = shared_from_this()](const Error &cancelled) {
        if (!cancelled) {
            self->m_hasTimedOut = true;
            self->abort("no complete response from " + toString(self->m_address) + " within the timeout");
        }
    });
}

void ClientExchange::run(std::unique_ptr<ClientConnection> connection, const ClientSettings &settings, ReleaseCallback onReleased)
{
    m_connection = std::move(connection);
    m_onReleased = std::move(onReleased);
    m_parser.emplace();
    m_parser->header_limit(static_cast<std::uint32_t>(settings.m_headerLimit));
    m_parser->body_limit(settings.m_bodyLimit);
    m_parser->skip(m_request.method() == beasthttp::verb::head);
    if (m_connection->m_socket.is_open()) {
        write();
    } else {
        connect(settings.m_unacknowledgedLimit);
    }
}

void ClientExchange::abort(const std::string &reason)
{
    end({m_isWriteStarted ? ResultKind::Unknown : ResultKind::NotSent, {}, reason}, false);
}

bool ClientExchange::ended() const
{
    return m_ended;
}

bool ClientExchange::hasTimedOut() const
{
    return m_hasTimedOut;
}

bool ClientExchange::isPost() const
{
    return m_request.method() == beasthttp::verb::post;
}

const Address &ClientExchange::address() const
{
    return m_address;
}

void ClientExchange::connect(fleet::Duration unacknowledgedLimit)
{
    Error error;
    const auto host = boost::asio::ip::make_address(m_address.m_host, error);
    if (error) {
        abort("'" + m_address.m_host + "' is not an IP address; set an IP address instead of a name");
        return;
    }
    using UserTimeout = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    m_connection->m_socket.open(host.is_v4() ? boost::asio::ip::tcp::v4() : boost::asio::ip::tcp::v6(), error);
    if (!error && unacknowledgedLimit.count() > 0) {
        m_connection->m_socket.set_option(UserTimeout(static_cast<int>(unacknowledgedLimit.count())), error);
    }
    if (error) {
        abort("cannot open a socket for " + toString(m_address) + ": " + error.message());
        return;
    }
    m_connection->m_socket.async_connect({host, m_address.m_port}, [self = shared_from_this()](const Error &failure) {
        if (self->m_ended) {
            return;
        }
        if (failure) {
            self->abort("cannot connect to " + toString(self->m_address) + ": " + failure.message());
            return;
        }
        Error ignored;
        self->m_connection->m_socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
        self->write();
    });
}

void ClientExchange::write()
{
    m_isWriteStarted = true;
    beasthttp::async_write(m_connection->m_socket, m_request, [self = shared_from_this()](const Error &error, std::size_t count) {
        if (!self->m_ended) {
            self->onWritten(error, count);
        }
    });
}

void ClientExchange::onWritten(const Error &error, std::size_t count)
{
    m_byteCount->m_sent += count;
    if (!error) {
        read();
        return;
    }
    // The write has completed with an error. If it wrote nothing, the kernel has taken no byte of the request.
    m_isWriteStarted = count > 0;
    if (m_isWriteStarted) {
        // The peer may have sent a response before it closed the connection, such as one for a body that is too large.
        read();
        return;
    }
    abort("the connection to " + toString(m_address) + " was closed: " + error.message());
}

void ClientExchange::read()
{
    beasthttp::async_read(m_connection->m_socket, m_connection->m_buffer, *m_parser, [self = shared_from_this()](const Error &error, std::size_t count) {
        self->m_byteCount->m_received += count;
        if (!self->m_ended) {
            self->onRead(error);
        }
    });
}

void ClientExchange::onRead(const Error &error)
{
    if (error) {
        abort("no complete response from " + toString(m_address) + ": " + error.message());
        return;
    }
    const bool reusable = m_parser->keep_alive();
    end({ResultKind::Answered, toResponse(m_parser->release()), {}}, reusable);
}

void ClientExchange::end(Result result, bool reusable)
{
    if (std::exchange(m_ended, true)) {
        return;
    }
    m_timer.cancel();
    if (m_connection && !reusable) {
        Error ignored;
        m_connection->m_socket.close(ignored);
    }
    const auto callback = std::exchange(m_callback, nullptr);
    const auto onReleased = std::exchange(m_onReleased, nullptr);
    // A pending operation may still refer to the buffer. Its handler holds the exchange, which keeps a connection that cannot be
    // reused until then.
    auto connection = reusable ? std::move(m_connection) : nullptr;
    if (onReleased) {
        onReleased(std::move(connection));
    }
    try {
        callback(std::move(result));
    } catch (const std::exception &error) {
        reportFailedCallback(callback, error.what());
    }
}

/// Whoever sent the request still waits for its end. The error itself goes to the thread, since nothing may be thrown here: other
/// exchanges may be about to end as well.
void ClientExchange::reportFailedCallback(const Client::Callback &callback, const std::string &reason)
{
    boost::asio::post(m_timer.get_executor(), [error = std::current_exception()] {
        std::rethrow_exception(error);
    });
    try {
        callback({ResultKind::Unknown, {}, "the answer of " + toString(m_address) + " could not be handled: " + reason});
    } catch (const std::exception &) {
        boost::asio::post(m_timer.get_executor(), [error = std::current_exception()] {
            std::rethrow_exception(error);
        });
    }
}

}
