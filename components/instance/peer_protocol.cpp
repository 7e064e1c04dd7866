#include "components/instance/peer_protocol.hpp"

#include "components/http/error_response.hpp"
#include "components/settings/daemon_settings.hpp"
#include "components/wire/authentication_error.hpp"
#include "components/wire/codec.hpp"
#include "components/wire/envelope.hpp"

#include <utility>

namespace instance
{

namespace
{

constexpr std::uint8_t messageVersion = 1;
constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;
constexpr int statusForbidden = 403;
constexpr std::string_view path = "/peer/v1/call";

}

PeerProtocol::PeerProtocol(const settings::DaemonSettings &settings, fleet::Incarnation incarnation, Waiters &waiters, EventQueue<Event> &queue)
    : m_instance(settings.m_instance)
    , m_incarnation(incarnation)
    , m_keys {settings.m_peerKeys.at(0), settings.m_peerKeys.size() > 1 ? settings.m_peerKeys[1] : std::string()}
    , m_waiters(waiters)
    , m_queue(queue)
{
}

std::string PeerProtocol::sign(const fleet::InstanceId &to, wire::MessageType type, std::string payload)
{
    const std::lock_guard lock(m_mutex);
    return wire::encodeSigned(m_keys, {m_instance, m_incarnation, to, ++m_lastSequence, type, std::move(payload)});
}

void PeerProtocol::handle(const http::Request &request, const http::Responder &respond)
{
    try {
        const wire::Envelope envelope = wire::decodeVerified(m_keys, m_instance, request.m_body);
        const std::lock_guard lock(m_mutex);
        if (request.m_target != path || envelope.m_type != wire::MessageType::PeerCall || !wire::accept(m_guard, envelope)) {
            throw wire::AuthenticationError("the message was sent before or is no call; drop it");
        }
        auto call = wire::decode<PeerCall>(messageVersion, envelope.m_payload);
        const requests::WaiterId waiter = m_waiters.add(respond);
        m_callers.emplace(waiter, envelope.m_from);
        m_queue.push(PeerCallReceived {waiter, std::move(call)});
    } catch (const wire::AuthenticationError &) {
        respond(http::errorResponse(statusForbidden, "unauthorized", "the message is not authentic; check security.peer_keys"));
    } catch (const wire::CodecError &) {
        respond(http::errorResponse(statusBadRequest, "bad-request", "the message cannot be read; run the same version on every instance"));
    }
}

http::Request PeerProtocol::makeRequest(const fleet::InstanceId &to, const PeerCall &call)
{
    http::Request request;
    request.m_method = "POST";
    request.m_target = path;
    request.m_headers.push_back({"Content-Type", "application/octet-stream"});
    request.m_body = sign(to, wire::MessageType::PeerCall, wire::encode(messageVersion, call));
    return request;
}

std::optional<PeerReply> PeerProtocol::readReply(const fleet::InstanceId &from, const http::Result &result)
{
    if (result.m_kind != http::ResultKind::Answered || result.m_response.m_status != statusOk) {
        return std::nullopt;
    }
    try {
        const wire::Envelope envelope = wire::decodeVerified(m_keys, m_instance, result.m_response.m_body);
        const std::lock_guard lock(m_mutex);
        if (envelope.m_from != from || envelope.m_type != wire::MessageType::PeerReply || !wire::accept(m_guard, envelope)) {
            return std::nullopt;
        }
        return wire::decode<PeerReply>(messageVersion, envelope.m_payload);
    } catch (const wire::AuthenticationError &) {
        return std::nullopt;
    } catch (const wire::CodecError &) {
        return std::nullopt;
    }
}

http::Response PeerProtocol::makeResponse(requests::WaiterId waiter, const PeerReply &reply)
{
    fleet::InstanceId to;
    {
        const std::lock_guard lock(m_mutex);
        const auto caller = m_callers.find(waiter);
        if (caller != m_callers.end()) {
            to = caller->second;
            m_callers.erase(caller);
        }
    }
    http::Response response;
    response.m_contentType = "application/octet-stream";
    response.m_body = sign(to, wire::MessageType::PeerReply, wire::encode(messageVersion, reply));
    return response;
}

}
