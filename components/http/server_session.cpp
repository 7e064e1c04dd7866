#include "components/http/server_session.hpp"

#include "components/http/body_deadline.hpp"
#include "components/http/client_budget.hpp"
#include "components/http/error_response.hpp"
#include "components/http/server_core.hpp"
#include "components/http/server_gate.hpp"

#include <boost/asio/post.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <exception>
#include <utility>

namespace http
{

namespace beasthttp = boost::beast::http;

namespace
{

/// Held by each idle connection, so it is small; most requests fit, so that they take one read.
constexpr std::size_t firstReadBytes = 2048;
constexpr std::size_t readBytes = 8192;
/// Memory of a header field beyond its text: a node of Beast's field list and its allocation.
constexpr std::size_t headerLineBytes = 128;
/// Bytes of chunk headers permitted for each byte of the body. A chunk of one byte takes 5, or up to 13 with a padded size.
constexpr std::size_t chunkOverheadPerByte = 16;
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

std::optional<CloseCause> causeOf(const boost::beast::error_code &error)
{
    if (error == beasthttp::error::body_limit) {
        return CloseCause::Body;
    }
    if (error == beasthttp::error::header_limit) {
        return CloseCause::Header;
    }
    if (error.category() == beasthttp::make_error_code(beasthttp::error::bad_method).category() && error != beasthttp::error::end_of_stream
        && error != beasthttp::error::partial_message) {
        return CloseCause::Malformed;
    }
    return std::nullopt;
}

/// Response to a request that was not passed to the handler. There is none if the connection is to be closed without a response.
std::optional<Response> refusalFor(CloseCause cause)
{
    switch (cause) {
    case CloseCause::Body:
        return errorResponse(413, "body-too-large", "the request body exceeds the size limit; send a smaller one");
    case CloseCause::Header:
        return errorResponse(431, "header-too-large", "the request header exceeds the size limit; send fewer or shorter fields");
    case CloseCause::ChunkOverhead:
        return errorResponse(431, "chunk-overhead-too-large", "trailers or chunk headers exceed the size limit; send shorter ones or larger chunks");
    case CloseCause::BodyTimeout:
        return errorResponse(408, "body-too-slow", "the request body did not arrive in time and the request has not run; send it again");
    case CloseCause::Memory:
    case CloseCause::Connections:
        return errorResponse(503, "overloaded", "too many unfinished requests; the request has not run; send it again later");
    case CloseCause::Malformed:
        return errorResponse(400, "bad-request", "the request is not valid HTTP/1.1; correct its syntax");
    case CloseCause::HeaderTimeout:
    case CloseCause::WriteTimeout:
        break;
    }
    return std::nullopt;
}

}

ServerSession::ServerSession(std::shared_ptr<ServerCore> core, boost::asio::ip::tcp::socket socket)
    : m_core(std::move(core))
    , m_stream(std::move(socket))
    , m_buffer(m_core->settings().m_headerLimit + readBytes)
    , m_readTimer(m_stream.get_executor())
{
    Error ignored;
    m_stream.socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
}

ServerSession::~ServerSession()
{
    m_core->budget().close(m_core->settings().m_clientKind, m_budgetNumber);
}

void ServerSession::setBudgetNumber(std::uint64_t number)
{
    m_budgetNumber = number;
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

void ServerSession::closeForBudget(CloseCause cause)
{
    boost::asio::post(m_stream.get_executor(), [self = shared_from_this(), cause] {
        switch (self->m_phase) {
        case ConnectionPhase::Idle:
        case ConnectionPhase::Writing:
            self->end();
            break;
        case ConnectionPhase::Reading:
            // The pending read fails, and its handler refuses the request.
            self->m_refusalCause = cause;
            self->m_stream.cancel();
            break;
        case ConnectionPhase::Handling:
            break;
        }
    });
}

void ServerSession::awaitRequest()
{
    releaseRequest();
    if (m_buffer.size() > 0) {
        beginRequest();
        return;
    }
    m_buffer.shrink_to_fit();
    m_idle = true;
    const auto input = m_buffer.prepare(firstReadBytes);
    if (!record(ConnectionPhase::Idle, false)) {
        end();
        return;
    }
    m_stream.expires_after(m_core->stopping() ? m_core->settings().m_stopLinger : m_core->settings().m_idleTimeout);
    m_stream.async_read_some(input, [self = shared_from_this()](const Error &error, std::size_t count) {
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
        self->beginRequest();
    });
}

void ServerSession::beginRequest()
{
    if (m_ended) {
        return;
    }
    m_parser.emplace();
    m_parser->header_limit(static_cast<std::uint32_t>(m_core->settings().m_headerLimit));
    m_parser->body_limit(m_core->settings().m_bodyLimit);
    m_headerLines = 0;
    m_bodyWireBytes = 0;
    m_headerBegan = std::chrono::steady_clock::now();
    parse();
}

void ServerSession::parse()
{
    try {
        parseInput();
    } catch (const std::exception &) {
        // Without this, the connection would stay open without a pending operation, and the budget would count it until the end.
        end();
        throw;
    }
}

/// Parses what has been received, and reads more if the request is not complete.
void ServerSession::parseInput()
{
    while (m_buffer.size() > 0 && !m_parser->is_done()) {
        const auto input = m_buffer.data();
        const bool isBody = m_parser->is_header_done();
        Error error;
        const std::size_t used = m_parser->put(input, error);
        if (isBody) {
            m_bodyWireBytes += used;
        } else {
            const auto *const text = static_cast<const char *>(input.data());
            m_headerLines += static_cast<std::size_t>(std::count(text, text + used, '\n'));
        }
        m_buffer.consume(used);
        if (error && error != beasthttp::error::need_more) {
            rejectRequest(error);
            return;
        }
        if (const auto cause = exceededLimit()) {
            refuse(*cause);
            return;
        }
        if (!isBody && m_parser->is_header_done()) {
            m_bodyBegan = std::chrono::steady_clock::now();
            m_parser->eager(true);
        }
        if (error || used == 0) {
            break;
        }
    }
    if (m_parser->is_done()) {
        dispatch();
    } else {
        readMore();
    }
}

/// The limits that Beast's parser does not have.
std::optional<CloseCause> ServerSession::exceededLimit() const
{
    if (m_headerLines > m_core->settings().m_headerLineLimit) {
        return CloseCause::Header;
    }
    const std::size_t bodyBytes = m_parser->get().body().size();
    if (m_bodyWireBytes > bodyBytes + m_core->settings().m_headerLimit + chunkOverheadPerByte * bodyBytes) {
        return CloseCause::ChunkOverhead;
    }
    return std::nullopt;
}

void ServerSession::readMore()
{
    const std::size_t room = m_buffer.max_size() - m_buffer.size();
    if (m_buffer.size() >= m_core->settings().m_headerLimit || room == 0) {
        // The parser needs the whole of a chunk header or of the trailers, so they are limited by the buffer.
        refuse(m_parser->is_header_done() ? CloseCause::ChunkOverhead : CloseCause::Header);
        return;
    }
    const auto input = m_buffer.prepare(std::min(readBytes, room));
    if (!record(ConnectionPhase::Reading, true)) {
        refuse(CloseCause::Memory);
        return;
    }
    m_isReading = true;
    m_stream.expires_never();
    armReadDeadline();
    m_stream.async_read_some(input, [self = shared_from_this()](const Error &error, std::size_t count) {
        self->onRead(error, count);
    });
}

void ServerSession::onRead(const Error &error, std::size_t count)
{
    m_isReading = false;
    m_readTimer.cancel();
    if (const auto cause = std::exchange(m_refusalCause, std::nullopt); cause && !m_ended) {
        refuse(*cause);
    } else if (error || m_ended) {
        end();
    } else {
        m_buffer.commit(count);
        parse();
    }
}

SteadyTime ServerSession::readDeadline() const
{
    const ServerSettings &settings = m_core->settings();
    if (!m_parser->is_header_done()) {
        return m_headerBegan + settings.m_headerTimeout;
    }
    return m_bodyBegan + bodyTimeLimit(settings, m_parser->get().body().size());
}

void ServerSession::armReadDeadline()
{
    m_readTimer.expires_at(readDeadline());
    m_readTimer.async_wait([self = shared_from_this()](const Error &cancelled) {
        // The wait may have ended just before the timer was set anew.
        if (!cancelled && self->m_isReading && self->m_readTimer.expiry() <= std::chrono::steady_clock::now()) {
            self->m_refusalCause = self->m_parser->is_header_done() ? CloseCause::BodyTimeout : CloseCause::HeaderTimeout;
            self->m_stream.cancel();
        }
    });
}

void ServerSession::rejectRequest(const Error &error)
{
    if (const auto cause = causeOf(error)) {
        refuse(*cause);
    } else {
        end();
    }
}

/// Answers a request that was not passed to the handler, or closes the connection without an answer.
void ServerSession::refuse(CloseCause cause)
{
    if (cause != CloseCause::Memory && cause != CloseCause::Connections) {
        // The budget has counted its own refusals.
        m_core->budget().report(m_core->settings().m_clientKind, cause);
    }
    auto refusal = refusalFor(cause);
    if (!refusal) {
        end();
        return;
    }
    releaseRequest();
    m_buffer.clear();
    m_buffer.shrink_to_fit();
    writeResponse(std::move(*refusal), true);
}

void ServerSession::dispatch()
{
    // No operation is pending on the socket while the handler runs, so there is nothing to time out.
    m_stream.expires_never();
    const bool last = !m_parser->keep_alive();
    m_handledBytes = m_parser->get().body().capacity();
    Request request = toRequest(m_parser->release());
    m_parser.reset();
    m_isRequestInFlight = true;
    record(ConnectionPhase::Handling, true);
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
    m_core->handle(std::move(request), responder);
}

void ServerSession::onHandlerDone(std::optional<Response> response, bool last)
{
    if (!response) {
        m_isRequestInFlight = false;
        m_core->onRequestFinished();
        end();
        return;
    }
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
        if (std::exchange(m_isRequestInFlight, false)) {
            m_core->onRequestFinished();
        }
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
    m_handledBytes = 0;
    record(ConnectionPhase::Writing, true);
    m_stream.expires_after(m_core->settings().m_writeTimeout);
    beasthttp::async_write(m_stream, m_response, [self = shared_from_this(), last](const Error &error, std::size_t) {
        self->onWritten(error, last);
    });
}

void ServerSession::onWritten(const Error &error, bool last)
{
    if (std::exchange(m_isRequestInFlight, false)) {
        m_core->onRequestFinished();
    }
    if (error == boost::beast::error::timeout) {
        m_core->budget().report(m_core->settings().m_clientKind, CloseCause::WriteTimeout);
    }
    if (error) {
        end();
    } else if (last) {
        releaseRequest();
        m_buffer.clear();
        m_buffer.shrink_to_fit();
        record(ConnectionPhase::Writing, true);
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

/// Frees the memory of the request and of the response.
void ServerSession::releaseRequest()
{
    m_parser.reset();
    m_response = {};
}

/// Records what the connection holds. Returns false if the connection has to be closed since the budget is exhausted.
bool ServerSession::record(ConnectionPhase phase, bool isProgress)
{
    m_phase = phase;
    const std::size_t request = m_parser ? m_parser->get().body().capacity() + m_headerLines * headerLineBytes : 0;
    const std::size_t held = m_buffer.capacity() + request + m_handledBytes + m_response.body().capacity();
    return m_core->budget().update(m_core->settings().m_clientKind, m_budgetNumber, phase, held, isProgress, std::chrono::steady_clock::now());
}

void ServerSession::end()
{
    m_ended = true;
    m_readTimer.cancel();
    m_core->budget().close(m_core->settings().m_clientKind, m_budgetNumber);
    m_stream.close();
    m_core->removeSession(shared_from_this());
}

}
