#include "components/http/address.hpp"
#include "components/http/client.hpp"
#include "components/http/io_thread.hpp"
#include "components/http/raw_socket_test.hpp"
#include "components/http/request.hpp"
#include "components/http/result.hpp"
#include "components/http/server.hpp"

#include <exception>
#include <future>
#include <memory>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include <criterion/criterion.h>

namespace
{

using namespace std::chrono_literals;

constexpr fleet::Duration longTimeout {20'000};

std::future<http::Result> start(http::Client &client, std::uint16_t port, http::Request request, fleet::Duration timeout = longTimeout)
{
    const auto promise = std::make_shared<std::promise<http::Result>>();
    client.send({"127.0.0.1", port}, std::move(request), timeout, [promise](http::Result result) {
        promise->set_value(std::move(result));
    });
    return promise->get_future();
}

http::Result exchange(http::Client &client, std::uint16_t port, http::Request request, fleet::Duration timeout = longTimeout)
{
    return start(client, port, std::move(request), timeout).get();
}

http::Request post(std::string body)
{
    return {"POST", "/x", {}, std::move(body)};
}

std::string okAnswer(const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}

Test(http_client, manyRequestsAtOnce_eachGetsItsOwnAnswer)
{
    http::ServerSettings settings;
    settings.m_threads = 2;
    http::Server server(settings, [](const http::Request &request, const http::Responder &respond) {
        respond({200, request.m_body, "text/plain", {}});
    });
    http::ClientSettings clientSettings;
    clientSettings.m_connectionsPerAddress = 3;
    http::Client client(clientSettings);
    std::vector<std::future<http::Result>> results;
    for (int i = 0; i < 200; ++i) {
        results.push_back(start(client, server.port(), post("body " + std::to_string(i))));
    }
    for (int i = 0; i < 200; ++i) {
        const auto result = results[i].get();
        cr_assert(result.m_kind == http::ResultKind::Answered, "%s", result.m_reason.c_str());
        cr_assert_eq(result.m_response.m_body, "body " + std::to_string(i));
    }
}

Test(http_client, nobodyListens_isNotSent)
{
    auto listener = http::RawSocket::listen();
    const auto port = listener.port();
    listener.close();
    http::Client client;
    cr_assert(exchange(client, port, post("x")).m_kind == http::ResultKind::NotSent);
}

Test(http_client, peerClosesMidAnswer_isUnknown)
{
    auto listener = http::RawSocket::listen();
    http::Client client;
    auto result = start(client, listener.port(), post("x"));
    auto peer = listener.accept();
    peer.readUntil("\r\n\r\nx");
    peer.send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
    peer.close();
    cr_assert(result.get().m_kind == http::ResultKind::Unknown);
}

Test(http_client, peerNeverAnswers_isUnknownAtTheTimeout)
{
    auto listener = http::RawSocket::listen();
    http::Client client;
    auto result = start(client, listener.port(), post("x"), 50ms);
    auto peer = listener.accept();
    cr_assert(result.get().m_kind == http::ResultKind::Unknown);
}

Test(http_client, noConnectionFreeBeforeTheTimeout_isNotSent)
{
    auto listener = http::RawSocket::listen();
    http::ClientSettings settings;
    settings.m_connectionsPerAddress = 1;
    http::Client client(settings);
    auto first = start(client, listener.port(), post("x"));
    auto peer = listener.accept();
    peer.readUntil("\r\n\r\nx");
    cr_assert(exchange(client, listener.port(), post("y"), 50ms).m_kind == http::ResultKind::NotSent);
    peer.send(okAnswer("late"));
    cr_assert_eq(first.get().m_response.m_body, "late");
}

Test(http_client, idleConnectionClosedByPeer_nextPostUsesANewOne)
{
    auto listener = http::RawSocket::listen();
    http::Client client;
    auto first = start(client, listener.port(), post("x"));
    {
        auto peer = listener.accept();
        peer.readUntil("\r\n\r\nx");
        peer.send(okAnswer("one"));
        cr_assert_eq(first.get().m_response.m_body, "one");
    }
    auto second = start(client, listener.port(), post("y"));
    auto peer = listener.accept();
    peer.readUntil("\r\n\r\ny");
    peer.send(okAnswer("two"));
    cr_assert_eq(second.get().m_response.m_body, "two");
}

/// Connections that a partition or a router has silenced, without a reset. With each of them used in turn, a worker that can be reached
/// again stayed unknown for several timeouts, and its jobs stood still.
Test(http_client, severalIdleConnectionsAreSilent_oneTimeoutIsEnoughToUseANewOne)
{
    auto listener = http::RawSocket::listen();
    http::Client client;
    std::vector<http::RawSocket> silent;
    std::vector<std::future<http::Result>> answered;
    for (int i = 0; i < 3; ++i) {
        answered.push_back(start(client, listener.port(), post("x")));
        silent.push_back(listener.accept());
    }
    for (int i = 0; i < 3; ++i) {
        silent[i].readUntil("\r\n\r\nx");
        silent[i].send(okAnswer("before"));
    }
    for (auto &result : answered) {
        cr_assert_eq(result.get().m_response.m_body, "before");
    }
    cr_assert(exchange(client, listener.port(), post("y"), 50ms).m_kind == http::ResultKind::Unknown);
    auto next = start(client, listener.port(), post("z"), 2000ms);
    auto accepted = std::async(std::launch::async, [&] {
        auto peer = listener.accept();
        peer.readUntil("\r\n\r\nz");
        peer.send(okAnswer("after"));
        return peer;
    });
    const http::Result result = next.get();
    if (result.m_kind != http::ResultKind::Answered) {
        // Lets the accepting thread end.
        start(client, listener.port(), post("z"));
        start(client, listener.port(), post("z"));
        start(client, listener.port(), post("z"));
    }
    cr_assert_eq(result.m_response.m_body, "after", "%s", result.m_reason.c_str());
}

Test(http_client, extraAnswerOnIdleConnection_isNotUsedForTheNextRequest)
{
    auto listener = http::RawSocket::listen();
    http::Client client;
    auto first = start(client, listener.port(), post("x"));
    auto stale = listener.accept();
    stale.readUntil("\r\n\r\nx");
    stale.send(okAnswer("one") + okAnswer("stray"));
    cr_assert_eq(first.get().m_response.m_body, "one");
    auto second = start(client, listener.port(), post("y"));
    auto peer = listener.accept();
    peer.readUntil("\r\n\r\ny");
    peer.send(okAnswer("two"));
    cr_assert_eq(second.get().m_response.m_body, "two");
}

Test(http_client, answerOverTheLimit_isUnknown)
{
    http::Server server({}, [](const http::Request &, const http::Responder &respond) {
        respond({200, std::string(10'000, 'x'), "text/plain", {}});
    });
    http::ClientSettings settings;
    settings.m_bodyLimit = 100;
    http::Client client(settings);
    cr_assert(exchange(client, server.port(), post("x")).m_kind == http::ResultKind::Unknown);
}

Test(http_client, destroyedWithPendingRequest_callbackGetsUnknown)
{
    auto listener = http::RawSocket::listen();
    auto client = std::make_unique<http::Client>();
    auto result = start(*client, listener.port(), post("x"));
    auto peer = listener.accept();
    peer.readUntil("\r\n\r\nx");
    client.reset();
    cr_assert(result.get().m_kind == http::ResultKind::Unknown);
}

/// The address sanitizer shows a handler that refers to the client.
Test(http_client, destroyedByACallbackWithARequestInFlight_laterHandlersDoNotReferToIt)
{
    const auto thread = std::make_shared<http::IoThread>();
    const auto silent = http::RawSocket::listen();
    const auto answering = http::RawSocket::listen();
    auto client = std::make_unique<http::Client>(http::ClientSettings(), thread);
    auto result = start(*client, silent.port(), post("x"));
    const auto silentPeer = silent.accept();
    silentPeer.readUntil("\r\n\r\nx");
    client->send({"127.0.0.1", answering.port()}, post("y"), longTimeout, [&client](const http::Result &) {
        client.reset();
    });
    const auto answeringPeer = answering.accept();
    answeringPeer.readUntil("\r\n\r\ny");
    answeringPeer.send(okAnswer(""));
    cr_assert(result.get().m_kind == http::ResultKind::Unknown);
    thread->join();
    cr_assert_null(client.get());
}

/// An error in a callback ended the process, and the read that it belonged to never came back.
Test(http_client, callbackThatThrows_isCalledOnceMoreWithoutAnAnswerAndTheThreadGoesOn)
{
    http::Server server({}, [](const http::Request &request, const http::Responder &respond) {
        respond({200, request.m_body, "text/plain", {}});
    });
    std::promise<std::string> error;
    const auto thread = std::make_shared<http::IoThread>(1, [&](const std::exception &thrown) {
        error.set_value(thrown.what());
    });
    http::Client client({}, thread);
    std::promise<http::Result> second;
    client.send({"127.0.0.1", server.port()}, post("x"), longTimeout, [&](http::Result result) {
        if (result.m_kind == http::ResultKind::Answered) {
            throw std::out_of_range("no such member");
        }
        second.set_value(std::move(result));
    });
    const http::Result result = second.get_future().get();
    cr_assert(result.m_kind == http::ResultKind::Unknown);
    cr_assert(result.m_reason.ends_with("no such member"));
    cr_assert_eq(error.get_future().get(), "no such member");
    cr_assert(exchange(client, server.port(), post("x")).m_kind == http::ResultKind::Answered);
}
