#include "components/http/body_deadline.hpp"
#include "components/http/client_budget.hpp"
#include "components/http/raw_socket_test.hpp"
#include "components/http/response.hpp"
#include "components/http/server.hpp"

#include <atomic>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include <criterion/criterion.h>

namespace
{

using namespace std::chrono_literals;
using Kind = http::ClientKind;

const std::string chunkedHead = "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string get = "GET /ok HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";

std::shared_ptr<http::ClientBudget> makeBudget(std::size_t bytes, std::size_t connections)
{
    http::ClientBudgetSettings settings;
    settings.m_shares.fill({bytes, connections});
    return std::make_shared<http::ClientBudget>(settings);
}

http::ServerSettings limited(std::shared_ptr<http::ClientBudget> budget)
{
    http::ServerSettings settings;
    settings.m_headerLimit = 1024;
    settings.m_headerLineLimit = 20;
    settings.m_bodyLimit = 64UL * 1024;
    settings.m_stopLinger = 50ms;
    settings.m_budget = std::move(budget);
    return settings;
}

void answerSize(const http::Request &request, const http::Responder &respond)
{
    respond({200, std::to_string(request.m_body.size()), "text/plain", {}});
}

std::string repeated(const std::string &piece, std::size_t count)
{
    std::string text;
    for (std::size_t i = 0; i < count; ++i) {
        text += piece;
    }
    return text;
}

bool startsWith(const std::string &text, const std::string &start)
{
    return text.rfind(start, 0) == 0;
}

/// First line of the answer to what is sent on a connection of its own.
std::string statusOf(const http::Server &server, const std::string &sent)
{
    const auto peer = http::RawSocket::connect(server.port());
    peer.send(sent);
    return peer.readUntil("\r\n");
}

/// Waits until the connections have ended and returns true if nothing is accounted for any more.
bool isReleased(const http::ClientBudget &budget)
{
    for (int i = 0; i < 500 && (budget.connections(Kind::Caller) > 0 || budget.heldBytes(Kind::Caller) > 0); ++i) {
        std::this_thread::sleep_for(10ms);
    }
    return budget.connections(Kind::Caller) == 0 && budget.heldBytes(Kind::Caller) == 0;
}

}

/// Beast keeps trailers and chunk headers in the buffer until they are complete, without a limit of its own.
Test(http_server_limits, chunkOverheadWithoutEnd_isRefused)
{
    const auto budget = makeBudget(1UL << 20, 8);
    const http::Server server(limited(budget), answerSize);
    const std::string refused = "HTTP/1.1 431";
    cr_assert(startsWith(statusOf(server, chunkedHead + "0\r\n" + repeated("X-Trailer: 1\r\n", 1000)), refused));
    cr_assert(startsWith(statusOf(server, chunkedHead + "1" + repeated(";name=value", 1000)), refused));
    cr_assert(startsWith(statusOf(server, chunkedHead + repeated("0", 10'000)), refused));
    cr_assert(startsWith(statusOf(server, chunkedHead + repeated("1;" + std::string(900, 'a') + "\r\nx\r\n", 20)), refused));
    cr_assert(startsWith(statusOf(server, chunkedHead + "fffffffffffffffff\r\n"), "HTTP/1.1 400"));
    cr_assert(isReleased(*budget));
}

Test(http_server_limits, manyShortHeaderLines_areRefused)
{
    const http::Server server(limited(makeBudget(1UL << 20, 8)), answerSize);
    cr_assert(startsWith(statusOf(server, "GET / HTTP/1.1\r\n" + repeated("a:\r\n", 30) + "\r\n"), "HTTP/1.1 431"));
}

/// A body inside the limit is served however it is divided into chunks.
Test(http_server_limits, bodyOfOneByteChunks_isServed)
{
    const http::Server server(limited(makeBudget(1UL << 20, 8)), answerSize);
    const auto peer = http::RawSocket::connect(server.port());
    peer.send("POST /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n" + repeated("1\r\nx\r\n", 64 * 1024) + "0\r\n\r\n");
    const auto answer = peer.readToClose();
    cr_assert(startsWith(answer, "HTTP/1.1 200"));
    cr_assert(answer.ends_with("\r\n\r\n65536"));
}

Test(http_server_limits, bodyThatStops_isRefusedWith408)
{
    auto settings = limited(makeBudget(1UL << 20, 8));
    settings.m_bodyGrace = 50ms;
    const http::Server server(settings, answerSize);
    cr_assert(startsWith(statusOf(server, chunkedHead + "10\r\nabc"), "HTTP/1.1 408"));
}

Test(http_server_limits, bodyTimeLimit_growsWithWhatWasReceivedUpToTheMaximum)
{
    http::ServerSettings settings;
    settings.m_bodyGrace = 1s;
    settings.m_bodyRate = 1000;
    settings.m_bodyTimeout = 5s;
    cr_assert(http::bodyTimeLimit(settings, 0) == 1s);
    cr_assert(http::bodyTimeLimit(settings, 2000) == 3s);
    cr_assert(http::bodyTimeLimit(settings, 1'000'000) == 5s);
}

/// Bodies that stop short of their end must not keep others from being served.
Test(http_server_limits, unfinishedBodiesExhaustTheBudget_theyAreRefusedAndOthersAreServed)
{
    const auto budget = makeBudget(256UL * 1024, 100);
    std::atomic<int> handled {0};
    {
        http::Server server(limited(budget), [&](const http::Request &request, const http::Responder &respond) {
            ++handled;
            answerSize(request, respond);
        });
        std::vector<http::RawSocket> peers;
        for (int i = 0; i < 40; ++i) {
            peers.push_back(http::RawSocket::connect(server.port()));
            peers.back().send(chunkedHead + "7000\r\n" + std::string(0x6fff, 'x'));
        }
        cr_assert(startsWith(peers.front().readUntil("\r\n"), "HTTP/1.1 503"));
        cr_assert_eq(handled.load(), 0);
        cr_assert(startsWith(statusOf(server, get), "HTTP/1.1 200"));
        // The budget and the quarter of it for connections that are closing.
        cr_assert_leq(budget->heldBytes(Kind::Caller), 320UL * 1024);
        peers.clear();
        cr_assert(isReleased(*budget));
    }
}

Test(http_server_limits, connectionsExhausted_theOneUsedLeastIsClosedForANewOne)
{
    const auto budget = makeBudget(1UL << 20, 2);
    const http::Server server(limited(budget), answerSize);
    const auto kept = http::RawSocket::connect(server.port());
    kept.send("GET /a HTTP/1.1\r\nHost: a\r\n\r\n");
    cr_assert(kept.readUntil("\r\n\r\n0").ends_with("0"));
    const auto silent = http::RawSocket::connect(server.port());
    while (budget->connections(Kind::Caller) < 2) {
        std::this_thread::sleep_for(1ms);
    }
    cr_assert(startsWith(statusOf(server, get), "HTTP/1.1 200"));
    cr_assert(silent.readToClose().empty());
    kept.send(get);
    cr_assert(startsWith(kept.readUntil("\r\n"), "HTTP/1.1 200"));
}

/// A peer that reads no response would hold it for ever.
Test(http_server_limits, responseThatIsNotRead_connectionIsClosedAtTheWriteTimeout)
{
    const auto budget = makeBudget(std::size_t {1} << 30, 8);
    auto settings = limited(budget);
    settings.m_writeTimeout = 50ms;
    const http::Server server(settings, [](const http::Request &, const http::Responder &respond) {
        respond({200, std::string(std::size_t {64} << 20, 'x'), "text/plain", {}});
    });
    const auto peer = http::RawSocket::connect(server.port());
    peer.send("GET /a HTTP/1.1\r\nHost: a\r\n\r\n");
    while (budget->connections(Kind::Caller) == 0) {
        std::this_thread::sleep_for(1ms);
    }
    cr_assert(isReleased(*budget));
}

namespace
{

/// Pieces that requests consist of, well-formed and not, from which random input is put together.
std::string randomInput(std::mt19937 &random)
{
    static const std::vector<std::string> pieces {"POST /x HTTP/1.1\r\n",
                                                  "GET / HTTP/1.1\r\nHost: a\r\n\r\n",
                                                  "Host: a\r\n",
                                                  "Transfer-Encoding: chunked\r\n",
                                                  "Content-Length: 5\r\n",
                                                  "Content-Length: 99999999999999999999\r\n",
                                                  "\r\n",
                                                  "5\r\nabcde\r\n",
                                                  "0\r\n",
                                                  "0\r\n\r\n",
                                                  "ffffffffffffffff\r\n",
                                                  ";a=\"b\"",
                                                  "X-Trailer: 1\r\n",
                                                  std::string(700, 'z'),
                                                  std::string("\0\x80\n", 3)};
    const auto draw = [&random](std::size_t below) {
        return std::uniform_int_distribution<std::size_t>(0, below - 1)(random);
    };
    std::string input = draw(2) == 0 ? chunkedHead : std::string();
    for (std::size_t i = draw(12); i > 0; --i) {
        input += pieces[draw(pieces.size())];
    }
    if (!input.empty() && draw(3) == 0) {
        input[draw(input.size())] = static_cast<char>(draw(256));
    }
    return input;
}

}

/// Fuzzes the parser path with seeded input in pieces of random size. Whatever a client sends, the server lives, serves others, and
/// accounts for nothing once the connections have ended.
Test(http_server_limits, randomInput_serverServesOnAndHoldsNothing)
{
    constexpr int rounds = 300;
    std::mt19937 random(20261206);
    const auto budget = makeBudget(256UL * 1024, 16);
    const http::Server server(limited(budget), answerSize);
    for (int round = 0; round < rounds; ++round) {
        const auto peer = http::RawSocket::connect(server.port());
        std::string input = randomInput(random);
        while (!input.empty()) {
            const std::size_t size = std::uniform_int_distribution<std::size_t>(1, input.size())(random);
            peer.send(input.substr(0, size));
            input.erase(0, size);
        }
    }
    cr_assert(startsWith(statusOf(server, get), "HTTP/1.1 200"));
    cr_assert(isReleased(*budget));
}
