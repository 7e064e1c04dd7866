#include "components/http/server_session.hpp"

#include "components/http/error_response.hpp"
#include "components/http/server_core.hpp"
#include "components/http/server_gate.hpp"

#include <boost/asio/post.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <exception>
#include <utility>

namespace http
{

namespace beasthttp = boost::beast::http;

namespace
{

constexpr std::size_t firstReadBytes = 4096;
/// Maximum input discarded after the last response. Closing with unread input would reset the connection, and the peer might not
/// receive the response.
constexpr std::size_t drainLimitBytes = 4UL * 1024 * 1024;

Request toRequest(beasthttp::request<beasthttp::string_body> message)
{
    Request request;
    request.m_method = std::string(message.method_string());
    request.m_target = std::string(message.target());
    for (const auto &field : message) {
        request.m_headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    request.m_body = std::move(message.body());
    return request;
}

std::optional<Response> errorResponseFor(const boost::beast::error_code &error)
{
    if (error == beasthttp::error::body_limit) {
        return errorResponse(413, "body-too-large", "the request body exceeds the size limit; send a smaller one");
    }
    if (error == beasthttp::error::header_limit) {
        return errorResponse(431, "header-too-large", "the request header exceeds the size limit; send fewer or shorter fields");
    }
    if (error.category() == beasthttp::make_error_code(beasthttp::error::bad_method).category() && error != beasthttp::error::end_of_stream
        && error != beasthttp::error::partial_message) {
        return errorResponse(400, "bad-request", "the request is not valid HTTP/1.1; correct its syntax");
    }
    return std::nullopt;
}

}

ServerSession::ServerSession(std::shared_ptr<ServerCore> core, boost::asio::ip::tcp::socket socket)
    : m_core(std::move(core))
    , m_stream(std::move(socket))
{
    Error ignored;
    m_stream.socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
}

void ServerSession::start()
{
    boost::asio::post(m_stream.get_executor(), [self = shared_from_this()] {
        self->awaitRequest();
    });
}

void ServerSession::beginStop()
{
    boost::asio::post(m_stream.get_executor(), [self = shared_from_this()] {
        if (self->m_idle) {
            // A time limit applies only to operations that begin after it was set, so the pending read is begun anew.
            self->m_stream.cancel();
        }
    });
}

void ServerSession::closeNow()
{
    boost::asio::post(m_stream.get_executor(), [self = shared_from_this()] {
        self->end();
    });
}

void ServerSession::awaitRequest()
{
    m_parser.emplace();
    m_parser->header_limit(static_cast<std::uint32_t>(m_core->settings().m_headerLimit));
    m_parser->body_limit(m_core->settings().m_bodyLimit);
    if (m_buffer.size() > 0) {
        readHeader();
        return;
    }
    m_idle = true;
    m_stream.expires_after(m_core->stopping() ? m_core->settings().m_stopLinger : m_core->settings().m_idleTimeout);
    m_stream.async_read_some(m_buffer.prepare(firstReadBytes), [self = shared_from_this()](const Error &error, std::size_t count) {
        self->m_idle = false;
        if (error == boost::asio::error::operation_aborted && !self->m_ended) {
            self->awaitRequest();
            return;
        }
        if (error) {
            self->end();
            return;
        }
        self->m_buffer.commit(count);
        self->readHeader();
    });
}

void ServerSession::readHeader()
{
    m_stream.expires_after(m_core->settings().m_headerTimeout);
    beasthttp::async_read_header(m_stream, m_buffer, *m_parser, [self = shared_from_this()](const Error &error, std::size_t) {
        if (error) {
            self->rejectRequest(error);
        } else {
            self->readBody();
        }
    });
}

void ServerSession::readBody()
{
    m_stream.expires_after(m_core->settings().m_bodyTimeout);
    beasthttp::async_read(m_stream, m_buffer, *m_parser, [self = shared_from_this()](const Error &error, std::size_t) {
        if (error) {
            self->rejectRequest(error);
        } else {
            self->dispatch();
        }
    });
}

void ServerSession::rejectRequest(const Error &error)
{
    auto refusal = errorResponseFor(error);
    if (!refusal) {
        end();
        return;
    }
    m_stream.expires_after(m_core->settings().m_bodyTimeout);
    writeResponse(std::move(*refusal), true);
}

void ServerSession::dispatch()
{
    // No operation is pending on the socket while the handler runs, so there is nothing to time out.
    m_stream.expires_never();
    m_isRequestInFlight = true;
    const bool last = !m_parser->keep_alive();
    // A responder may outlive the server and its threads, so it must not own a part of it.
    const Responder responder([gate = m_core->gate(), weak = weak_from_this(), last](std::optional<Response> response) {
        gate->runUnlessClosed([&] {
            if (const auto self = weak.lock()) {
                boost::asio::post(self->m_stream.get_executor(), [self, last, response = std::move(response)]() mutable {
                    self->onHandlerDone(std::move(response), last);
                });
            }
        });
    });
    m_core->handle(toRequest(m_parser->release()), responder);
}

void ServerSession::onHandlerDone(std::optional<Response> response, bool last)
{
    if (!response) {
        m_isRequestInFlight = false;
        m_core->onRequestFinished();
        end();
        return;
    }
    m_stream.expires_after(m_core->settings().m_bodyTimeout);
    try {
        writeResponse(std::move(*response), last || (m_core->stopping() && !hasFurtherInput()));
    } catch (const std::exception &) {
        // Without this, the connection would stay open and the server would never be drained.
        onWritten(beasthttp::make_error_code(beasthttp::error::bad_status), true);
        throw;
    }
}

/// True if the peer has already sent bytes after the request in flight. They belong to a request that has to be answered too.
bool ServerSession::hasFurtherInput()
{
    Error ignored;
    return m_buffer.size() > 0 || m_stream.socket().available(ignored) > 0;
}

void ServerSession::writeResponse(Response response, bool last)
{
    if (m_ended) {
        return;
    }
    m_response = {};
    m_response.version(11);
    m_response.result(static_cast<unsigned>(response.m_status));
    m_response.set(beasthttp::field::content_type, response.m_contentType);
    for (const auto &header : response.m_headers) {
        m_response.set(header.m_name, header.m_value);
    }
    m_response.body() = std::move(response.m_body);
    m_response.keep_alive(!last);
    m_response.prepare_payload();
    beasthttp::async_write(m_stream, m_response, [self = shared_from_this(), last](const Error &error, std::size_t) {
        self->onWritten(error, last);
    });
}

void ServerSession::onWritten(const Error &error, bool last)
{
    if (std::exchange(m_isRequestInFlight, false)) {
        m_core->onRequestFinished();
    }
    if (error) {
        end();
    } else if (last) {
        Error ignored;
        m_stream.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
        m_stream.expires_after(m_core->settings().m_stopLinger);
        drainInput();
    } else {
        awaitRequest();
    }
}

void ServerSession::drainInput()
{
    m_buffer.clear();
    m_stream.async_read_some(m_buffer.prepare(firstReadBytes), [self = shared_from_this()](const Error &error, std::size_t count) {
        self->m_drainedBytes += count;
        if (error || self->m_drainedBytes > drainLimitBytes) {
            self->end();
        } else {
            self->drainInput();
        }
    });
}

void ServerSession::end()
{
    m_ended = true;
    m_stream.close();
    m_core->removeSession(shared_from_this());
}

}
