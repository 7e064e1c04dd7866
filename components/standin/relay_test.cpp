#include "components/http/client.hpp"
#include "components/http/request.hpp"
#include "components/http/result.hpp"
#include "components/http/server.hpp"
#include "components/standin/relay.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <future>
#include <memory>
#include <string>

#include <criterion/criterion.h>

namespace
{

using boost::asio::ip::udp;

constexpr const char *host = "127.0.0.1";
constexpr fleet::Duration longTimeout {20'000};
constexpr fleet::Duration shortTimeout {200};

struct HttpFixture
{
    int m_served = 0;
    http::Server m_server {{}, [this](const http::Request &request, const http::Responder &respond) {
                               ++m_served;
                               respond({200, request.m_body, "text/plain", {}});
                           }};
    standin::Relay m_relay {1};
    http::Address m_address = m_relay.add("web", host, {host, m_server.port()});
    http::Client m_client;

    std::future<http::Result> send(const std::string &body, fleet::Duration timeout)
    {
        const auto promise = std::make_shared<std::promise<http::Result>>();
        m_client.send(m_address, {"POST", "/", {}, body}, timeout, [promise](http::Result result) {
            promise->set_value(std::move(result));
        });
        return promise->get_future();
    }
};

struct DatagramFixture
{
    boost::asio::io_context m_io;
    udp::socket m_receiver {m_io, {boost::asio::ip::make_address(host), 0}};
    udp::socket m_sender {m_io, {boost::asio::ip::make_address(host), 0}};
    standin::Relay m_relay {1};
    http::Address m_address = m_relay.add("peer", host, {host, m_receiver.local_endpoint().port()});

    void send(const std::string &bytes)
    {
        send(bytes, m_address);
    }

    void send(const std::string &bytes, const http::Address &target)
    {
        m_sender.send_to(boost::asio::buffer(bytes), {boost::asio::ip::make_address(host), target.m_port});
    }

    std::string receive()
    {
        std::array<char, 100> bytes {};
        const auto count = m_receiver.receive(boost::asio::buffer(bytes));
        return {bytes.data(), count};
    }
};

}

Test(relay, noFaults_requestsAndAnswersPass)
{
    HttpFixture fixture;
    const std::string large(300'000, 'x');
    cr_assert_eq(fixture.send(large, longTimeout).get().m_response.m_body, large);
}

Test(relay, cutForward_requestArrivesWhenTheCutEnds)
{
    HttpFixture fixture;
    fixture.m_relay.setFaults("web", {true});
    auto result = fixture.send("x", longTimeout);
    cr_assert(fixture.send("y", shortTimeout).get().m_kind == http::ResultKind::Unknown);
    cr_assert_eq(fixture.m_served, 0);
    fixture.m_relay.setFaults("web", {});
    cr_assert_eq(result.get().m_response.m_body, "x");
}

Test(relay, cutBackward_requestTakesEffectUnanswered)
{
    HttpFixture fixture;
    fixture.m_relay.setFaults("web", {false, true});
    cr_assert(fixture.send("x", shortTimeout).get().m_kind == http::ResultKind::Unknown);
    fixture.m_relay.setFaults("web", {});
    cr_assert_eq(fixture.send("y", longTimeout).get().m_response.m_body, "y");
    cr_assert_eq(fixture.m_served, 2);
}

Test(relay, everyDatagramDuplicated_arrivesTwice)
{
    DatagramFixture fixture;
    standin::RelayFaults faults;
    faults.m_duplicatePercent = 100;
    cr_assert(fixture.m_relay.setFaults("peer", faults));
    fixture.send("one");
    cr_assert_eq(fixture.receive(), "one");
    cr_assert_eq(fixture.receive(), "one");
}

Test(relay, datagramsDuringACut_areLost)
{
    DatagramFixture fixture;
    fixture.m_relay.setFaults("peer", {true});
    fixture.send("lost");
    // The relay handles datagrams on one thread in order of arrival, so "lost" has been handled once "seen" arrives.
    const auto uncut = fixture.m_relay.add("uncut", host, {host, fixture.m_receiver.local_endpoint().port()});
    fixture.send("seen", uncut);
    cr_assert_eq(fixture.receive(), "seen");
    fixture.m_relay.setFaults("peer", {});
    fixture.send("kept");
    cr_assert_eq(fixture.receive(), "kept");
}

Test(relay, oneCallerCut_othersPass)
{
    HttpFixture fixture;
    fixture.m_address = fixture.m_relay.add("peer", host, {host, fixture.m_server.port()}, {"kochi-1", "thrissur-1"});
    fixture.m_relay.setFaults("peer", {false, false, {"kochi-1"}, {}});
    cr_assert(fixture.send("from kochi-1 to thrissur-1", shortTimeout).get().m_kind == http::ResultKind::Unknown);
    cr_assert_eq(fixture.send("from thrissur-1 to kochi-1", longTimeout).get().m_response.m_status, 200);
    cr_assert_eq(fixture.m_served, 1);
}

Test(relay, unknownRoute_isRefused)
{
    standin::Relay relay(1);
    cr_assert_not(relay.setFaults("other", {}));
}
