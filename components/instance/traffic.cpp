#include "components/instance/traffic.hpp"

#include "components/api/write_reply.hpp"
#include "components/http/byte_count.hpp"
#include "components/http/client.hpp"
#include "components/http/server.hpp"
#include "components/instance/call_handler.hpp"
#include "components/instance/peer_protocol.hpp"
#include "components/instance/waiters.hpp"
#include "components/peers/udp_socket.hpp"
#include "components/platform/command_message.hpp"
#include "components/platform/list_client.hpp"
#include "components/platform/log_client.hpp"
#include "components/platform/run_request.hpp"
#include "components/platform/runner_client.hpp"
#include "components/platform/worker_client.hpp"
#include "components/settings/daemon_settings.hpp"

#include <boost/uuid/random_generator.hpp>
#include <boost/uuid/uuid_io.hpp>

namespace instance
{

namespace
{

constexpr fleet::Duration logTimeout {3000};
constexpr fleet::Duration listTimeout {3000};
constexpr fleet::Duration workerTimeout {1500};
constexpr fleet::Duration loadTimeout {1000};
constexpr int pageLimit = 500;

http::Address toAddress(const settings::Endpoint &endpoint)
{
    return {endpoint.m_address, endpoint.m_port};
}

http::ServerSettings callerServer(const settings::DaemonSettings &settings)
{
    http::ServerSettings server;
    server.m_bind = toAddress(settings.m_httpEndpoint);
    server.m_threads = settings.m_trafficThreads;
    server.m_bodyLimit = static_cast<std::size_t>(settings.m_maxBodyBytes);
    server.m_headerLimit = static_cast<std::size_t>(settings.m_maxHeaderBytes);
    return server;
}

http::ServerSettings peerServer(const settings::DaemonSettings &settings)
{
    http::ServerSettings server;
    server.m_bind = toAddress(settings.m_peerEndpoint);
    server.m_bodyLimit = maxPeerBodyBytes;
    return server;
}

std::vector<platform::TaskCommand> toTaskCommands(const std::vector<scheduler::WorkerCommand> &commands)
{
    std::vector<platform::TaskCommand> list;
    list.reserve(commands.size());
    for (const scheduler::WorkerCommand &command : commands) {
        list.push_back({command, fleet::Duration(0)});
    }
    return list;
}

}

struct Traffic::Sockets
{
    Sockets(const settings::DaemonSettings &settings, fleet::Incarnation incarnation, EventQueue<Event> &queue)
        : m_instance(settings.m_instance)
        , m_queue(queue)
        , m_callHandler(settings.m_operatorToken, m_waiters, queue)
        , m_peerProtocol(settings, incarnation, m_waiters, queue)
        , m_log(m_client, toAddress(settings.m_logEndpoint))
        , m_list(m_client, toAddress(settings.m_listEndpoint))
        , m_workers(m_client)
        , m_runners(m_client)
        , m_udp(toAddress(settings.m_peerEndpoint),
                [&queue](std::string bytes) {
                    queue.push(DatagramReceived {std::move(bytes)});
                })
        , m_peerServer(peerServer(settings),
                       [this](const http::Request &request, const http::Responder &respond) {
                           m_peerProtocol.handle(request, respond);
                       })
        , m_callerServer(callerServer(settings), [this](const http::Request &request, const http::Responder &respond) {
            m_callHandler.handle(request, respond);
        })
    {
    }

    void append(LogStream stream, std::string record, std::uint64_t upTo)
    {
        m_log.append(std::string(streamName(stream)), std::move(record), logTimeout, [this, stream, upTo](const platform::AppendResult &result) {
            m_queue.push(LogAppendEnded {stream, upTo, result});
        });
    }

    void read(LogStream stream, std::uint64_t from)
    {
        m_log.read(std::string(streamName(stream)), from, pageLimit, logTimeout, [this, stream](const platform::ReadResult &result) {
            m_queue.push(LogReadEnded {stream, result});
        });
    }

    void readList()
    {
        m_list.fetch(listTimeout, [this](const platform::ListResult &result) {
            m_queue.push(ListReadEnded {result});
        });
    }

    void sendToWorker(const http::Address &address, const WorkerMessage &message)
    {
        const platform::CommandMessage commands {m_instance, message.m_fence, toTaskCommands(message.m_commands)};
        const auto onEnded = [this, worker = message.m_worker, fence = message.m_fence](const platform::CommandResult &result) {
            m_queue.push(WorkerMessageEnded {worker, fence, result});
        };
        m_workers.send(address, commands, workerTimeout, onEnded);
    }

    void run(const http::Address &address, const requests::Dispatch &dispatch, fleet::Duration timeout)
    {
        const platform::RunRequest request {dispatch.m_request, dispatch.m_attempt, dispatch.m_account, dispatch.m_kind, dispatch.m_body};
        const auto onEnded = [this, runner = dispatch.m_runner, id = dispatch.m_request, attempt = dispatch.m_attempt](const platform::RunResult &result) {
            m_queue.push(RunEnded {runner, id, attempt, result});
        };
        m_runners.run(address, request, timeout, onEnded);
    }

    void readLoad(const fleet::RunnerId &runner, const http::Address &address)
    {
        m_runners.fetchLoad(address, loadTimeout, [this, runner](const platform::LoadResult &result) {
            m_queue.push(LoadReadEnded {runner, result});
        });
    }

    void callPeer(PeerCallId id, const PeerAddress &target, const PeerCall &call, fleet::Duration timeout)
    {
        const auto onEnded = [this, id, from = target.m_instance](const http::Result &result) {
            m_queue.push(PeerCallEnded {id, result.m_kind, m_peerProtocol.readReply(from, result)});
        };
        m_client.send(target.m_address, m_peerProtocol.makeRequest(target.m_instance, call), timeout, onEnded);
    }

    void reply(requests::WaiterId waiter, const api::Reply &reply)
    {
        if (const auto respond = m_waiters.take(waiter)) {
            (*respond)(api::toResponse(reply));
        }
    }

    void replyToPeer(requests::WaiterId waiter, const PeerReply &reply)
    {
        if (const auto respond = m_waiters.take(waiter)) {
            (*respond)(m_peerProtocol.makeResponse(waiter, reply));
        }
    }

    fleet::InstanceId m_instance;
    EventQueue<Event> &m_queue;
    Waiters m_waiters;
    CallHandler m_callHandler;
    PeerProtocol m_peerProtocol;
    http::Client m_client;
    platform::LogClient m_log;
    platform::ListClient m_list;
    platform::WorkerClient m_workers;
    platform::RunnerClient m_runners;
    boost::uuids::random_generator m_makeId;
    peers::UdpSocket m_udp;
    http::Server m_peerServer;
    http::Server m_callerServer;
};

Traffic::Traffic(const settings::DaemonSettings &settings, fleet::Incarnation incarnation, EventQueue<Event> &queue)
    : m_sockets(std::make_unique<Sockets>(settings, incarnation, queue))
{
}

Traffic::~Traffic() = default;

Ports Traffic::ports()
{
    Sockets &sockets = *m_sockets;
    Ports ports;
    ports.m_append = [&sockets](LogStream stream, std::string record, std::uint64_t upTo) {
        sockets.append(stream, std::move(record), upTo);
    };
    ports.m_read = [&sockets](LogStream stream, std::uint64_t from) {
        sockets.read(stream, from);
    };
    ports.m_readList = [&sockets] {
        sockets.readList();
    };
    ports.m_sendToWorker = [&sockets](const http::Address &address, const WorkerMessage &message) {
        sockets.sendToWorker(address, message);
    };
    ports.m_run = [&sockets](const http::Address &address, const requests::Dispatch &dispatch, fleet::Duration timeout) {
        sockets.run(address, dispatch, timeout);
    };
    ports.m_readLoad = [&sockets](const fleet::RunnerId &runner, const http::Address &address) {
        sockets.readLoad(runner, address);
    };
    ports.m_sendDatagram = [&sockets](const http::Address &address, std::string bytes) {
        sockets.m_udp.send(address, std::move(bytes));
    };
    ports.m_callPeer = [&sockets](PeerCallId id, const PeerAddress &target, const PeerCall &call, fleet::Duration timeout) {
        sockets.callPeer(id, target, call, timeout);
    };
    ports.m_reply = [&sockets](requests::WaiterId waiter, const api::Reply &reply) {
        sockets.reply(waiter, reply);
    };
    ports.m_replyToPeer = [&sockets](requests::WaiterId waiter, const PeerReply &reply) {
        sockets.replyToPeer(waiter, reply);
    };
    ports.m_stopListening = [&sockets] {
        sockets.m_callerServer.beginStop();
    };
    ports.m_clientBytes = [&sockets] {
        const http::ByteCount &bytes = sockets.m_client.byteCount();
        return ClientBytes {bytes.m_sent.load(), bytes.m_received.load()};
    };
    ports.m_makeId = [&sockets] {
        return boost::uuids::to_string(sockets.m_makeId());
    };
    return ports;
}

void Traffic::stop(fleet::Duration limit)
{
    m_sockets->m_callerServer.stop(limit);
    m_sockets->m_peerServer.stop(limit);
}

}
