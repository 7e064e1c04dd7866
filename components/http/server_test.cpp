#include "components/http/client.hpp"
#include "components/http/raw_socket_test.hpp"
#include "components/http/result.hpp"
#include "components/http/server.hpp"
#include "components/http/server_error.hpp"

#include <future>
#include <optional>
#include <string>
#include <thread>

#include <criterion/criterion.h>

namespace
{

using namespace std::chrono_literals;

constexpr fleet::Duration longTimeout {20'000};

http::ServerSettings smallLimits()
{
    http::ServerSettings settings;
    settings.m_threads = 2;
    settings.m_headerLimit = 1024;
    settings.m_bodyLimit = 1024;
    return settings;
}

void echo(const http::Request &request, const http::Responder &respond)
{
    respond({200, request.m_method + " " + request.m_target + " " + request.m_body, "text/plain", {}});
}

std::string post(std::size_t bodySize)
{
    return "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(bodySize) + "\r\n\r\n" + std::string(bodySize, 'x');
}

bool startsWith(const std::string &text, const std::string &start)
{
    return text.rfind(start, 0) == 0;
}

}

Test(http_server, twoRequestsOnOneConnection_bothAreAnsweredInOrder)
{
    http::Server server(smallLimits(), echo);
    auto peer = http::RawSocket::connect(server.port());
    peer.send("GET /a HTTP/1.1\r\nHost: a\r\n\r\nGET /b HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    const auto answers = peer.readToClose();
    cr_assert(answers.find("GET /a ") < answers.find("GET /b "));
    cr_assert(answers.find("GET /b ") != std::string::npos);
}

Test(http_server, bodyOverTheLimit_isRefusedWith413)
{
    http::Server server(smallLimits(), echo);
    auto peer = http::RawSocket::connect(server.port());
    peer.send(post(100'000));
    cr_assert(startsWith(peer.readUntil("\r\n"), "HTTP/1.1 413"));
}

Test(http_server, headerOverTheLimit_isRefusedWith431)
{
    http::Server server(smallLimits(), echo);
    auto peer = http::RawSocket::connect(server.port());
    peer.send("GET / HTTP/1.1\r\nHost: a\r\nLong: " + std::string(5000, 'x') + "\r\n\r\n");
    cr_assert(startsWith(peer.readUntil("\r\n"), "HTTP/1.1 431"));
}

Test(http_server, bytesThatAreNotHttp_areRefusedWith400)
{
    http::Server server(smallLimits(), echo);
    auto peer = http::RawSocket::connect(server.port());
    peer.send("\x01\x02 nothing like it\r\n\r\n");
    cr_assert(startsWith(peer.readUntil("\r\n"), "HTTP/1.1 400"));
}

Test(http_server, headerThatNeverEnds_connectionIsClosed)
{
    auto settings = smallLimits();
    settings.m_headerTimeout = 50ms;
    http::Server server(settings, echo);
    auto peer = http::RawSocket::connect(server.port());
    peer.send("GET / HTTP/1.1\r\nHo");
    cr_assert(peer.readToClose().empty());
}

Test(http_server, connectionWithoutRequest_isClosedAfterIdleTimeout)
{
    auto settings = smallLimits();
    settings.m_idleTimeout = 50ms;
    http::Server server(settings, echo);
    auto peer = http::RawSocket::connect(server.port());
    cr_assert(peer.readToClose().empty());
}

Test(http_server, handlerThatThrows_isAnsweredWith500)
{
    http::Server server(smallLimits(), [](const http::Request &, const http::Responder &) {
        throw std::runtime_error("broken");
    });
    auto peer = http::RawSocket::connect(server.port());
    peer.send(post(1));
    cr_assert(startsWith(peer.readUntil("\r\n"), "HTTP/1.1 500"));
}

Test(http_server, responderDroppedWithoutCall_isAnsweredWith500)
{
    http::Server server(smallLimits(), [](const http::Request &, const http::Responder &) {});
    auto peer = http::RawSocket::connect(server.port());
    peer.send(post(1));
    cr_assert(startsWith(peer.readUntil("\r\n"), "HTTP/1.1 500"));
}

Test(http_server, responderClosed_connectionEndsWithoutAnswer)
{
    http::Server server(smallLimits(), [](const http::Request &, const http::Responder &respond) {
        respond.closeWithoutAnswer();
    });
    auto peer = http::RawSocket::connect(server.port());
    peer.send(post(1));
    cr_assert(peer.readToClose().empty());
    cr_assert_eq(server.inFlight(), 0U);
}

Test(http_server, stopWithRequestInFlight_answerIsWholeAndConnectionClosed)
{
    std::promise<http::Responder> held;
    http::Server server(smallLimits(), [&](const http::Request &, const http::Responder &respond) {
        held.set_value(respond);
    });
    auto peer = http::RawSocket::connect(server.port());
    peer.send(post(1));
    const auto respond = held.get_future().get();
    cr_assert_eq(server.inFlight(), 1U);
    cr_assert_eq(server.openConnections(), 1U);
    server.beginStop();
    std::thread answering([&] {
        respond({200, "whole", "text/plain", {}});
    });
    const auto answer = peer.readToClose();
    answering.join();
    peer.close();
    cr_assert(answer.ends_with("whole"));
    cr_assert(answer.find("Connection: close") != std::string::npos);
    cr_assert(server.stop(longTimeout));
    cr_assert_eq(server.inFlight(), 0U);
    cr_assert_eq(server.openConnections(), 0U);
}

Test(http_server, stopWithIdleConnection_connectionIsClosedAfterTheLinger)
{
    auto settings = smallLimits();
    settings.m_stopLinger = 50ms;
    http::Server server(settings, echo);
    auto peer = http::RawSocket::connect(server.port());
    peer.send("GET /a HTTP/1.1\r\nHost: a\r\n\r\n");
    cr_assert(peer.readUntil("GET /a ").ends_with("GET /a "));
    cr_assert(server.stop(5s));
}

Test(http_server, stopWithIdleConnection_requestSentWithinTheLingerIsAnswered)
{
    http::Server server(smallLimits(), echo);
    auto peer = http::RawSocket::connect(server.port());
    peer.send("GET /a HTTP/1.1\r\nHost: a\r\n\r\n");
    cr_assert(peer.readUntil("GET /a ").ends_with("GET /a "));
    server.beginStop();
    peer.send("GET /b HTTP/1.1\r\nHost: a\r\n\r\n");
    cr_assert(peer.readToClose().ends_with("GET /b "));
}

namespace
{

/// Answers of a server that is stopped while it handles the first of two requests on a connection.
/// @param isSentTogether True if the second request arrives with the first one, false if it arrives while the first is handled.
std::string answersToTwoRequestsInAStop(bool isSentTogether)
{
    const std::string second = "GET /b HTTP/1.1\r\nHost: a\r\n\r\n";
    std::promise<http::Responder> held;
    http::Server server(smallLimits(), [&](const http::Request &request, const http::Responder &respond) {
        if (request.m_target == "/x") {
            held.set_value(respond);
        } else {
            echo(request, respond);
        }
    });
    auto peer = http::RawSocket::connect(server.port());
    peer.send(post(1) + (isSentTogether ? second : std::string()));
    const auto respond = held.get_future().get();
    if (!isSentTogether) {
        peer.send(second);
    }
    server.beginStop();
    respond({200, "first", "text/plain", {}});
    return peer.readToClose();
}

}

Test(http_server, stopWithRequestBehindTheOneInFlight_bothAreAnswered)
{
    const auto answers = answersToTwoRequestsInAStop(true);
    cr_assert(answers.find("first") != std::string::npos);
    cr_assert(answers.ends_with("GET /b "));
}

Test(http_server, stopWithRequestSentDuringTheOneInFlight_bothAreAnswered)
{
    const auto answers = answersToTwoRequestsInAStop(false);
    cr_assert(answers.find("first") != std::string::npos);
    cr_assert(answers.ends_with("GET /b "));
}

Test(http_server, stopWithHungHandler_closesAtTheLimitAndLateAnswerIsHarmless)
{
    std::promise<http::Responder> held;
    std::optional<http::Responder> respond;
    {
        http::Server server(smallLimits(), [&](const http::Request &, const http::Responder &responder) {
            held.set_value(responder);
        });
        auto peer = http::RawSocket::connect(server.port());
        peer.send(post(1));
        respond = held.get_future().get();
        cr_assert_not(server.stop(50ms));
        cr_assert(peer.readToClose().empty());
    }
    (*respond)({200, "late", "text/plain", {}});
}

Test(http_server, portInUse_errorNamesAddressAndRemedy)
{
    http::Server first(smallLimits(), echo);
    auto settings = smallLimits();
    settings.m_bind.m_port = first.port();
    std::string message;
    try {
        http::Server second(settings, echo);
    } catch (const http::ServerError &error) {
        message = error.what();
    }
    cr_assert(message.find(std::to_string(first.port())) != std::string::npos);
    cr_assert(message.find("set a free address and port") != std::string::npos);
}

/// The error ended the process, and with it all other calls.
Test(http_server, responseThatCannotBeWritten_closesItsConnectionAndTheOthersAreServed)
{
    http::Server server({}, [](const http::Request &request, const http::Responder &respond) {
        const int status = request.m_target == "/odd" ? 99'999 : 200;
        respond({status, "", "text/plain", {}});
    });
    auto peer = http::RawSocket::connect(server.port());
    peer.send("GET /odd HTTP/1.1\r\nHost: a\r\n\r\n");
    cr_assert_eq(peer.readToClose(), "");
    auto other = http::RawSocket::connect(server.port());
    other.send("GET /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    cr_assert(startsWith(other.readToClose(), "HTTP/1.1 200"));
    cr_assert_eq(server.inFlight(), 0);
}
