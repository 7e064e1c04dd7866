#ifndef COMPONENTS_SITE_SITE_FIXTURE_TEST_HPP
#define COMPONENTS_SITE_SITE_FIXTURE_TEST_HPP

#include "components/api/replies.hpp"
#include "components/instance/control.hpp"
#include "components/settings/daemon_settings.hpp"
#include "components/standin/list_versions.hpp"
#include "components/standin/log_streams.hpp"
#include "components/standin/runner_state.hpp"
#include "components/standin/worker_state.hpp"

#include <boost/random/mersenne_twister.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace site
{

/// One instance of the site: the control loop that the daemon runs, without its sockets.
struct Node
{
    settings::DaemonSettings m_settings;
    std::unique_ptr<instance::Control> m_control;
    std::uint64_t m_lastWaiter = 0;
    std::uint64_t m_lastId = 0;
    std::map<requests::WaiterId, api::Reply> m_replies;
    /// Who waits for the answer of a call from another instance.
    std::map<requests::WaiterId, std::function<void(const instance::PeerReply &)>> m_peerWaiters;
    bool m_killed = false;
};

/// Three instances in three availability zones over plain tables of log, list, workers and runners, in virtual time. Every
/// message takes a random time out of a seeded sequence, so messages overtake one another; datagrams are lost and doubled.
struct Site
{
    explicit Site(unsigned seed);

    /// Lets time pass.
    void run(fleet::Duration duration);
    /// Lets time pass until the condition holds, at most `limit`. False where it did not.
    bool runUntil(const std::function<bool()> &condition, fleet::Duration limit);

    /// Sends one HTTP call to an instance and lets time pass until its reply, at most `limit`.
    /// @throws api::Error where the call cannot be read.
    std::optional<api::Reply> call(std::size_t node, const std::string &method, const std::string &target, const std::string &body = {});

    /// Ends the process without notice.
    void kill(std::size_t node);
    /// Asks for a planned stop and lets time pass until the process exits, at most `limit`. False where it did not.
    bool stop(std::size_t node, fleet::Duration limit);
    /// Starts a new incarnation in place of the instance.
    void restart(std::size_t node);

    std::uint64_t configurationVersion(std::size_t node) const;
    /// Present version, for the next change.
    std::string madeFrom() const;

    /// Time of each start of a task in the zone.
    std::vector<fleet::TimePoint> startsIn(const std::string &zone) const;
    /// Times that runners received the request.
    int received(const std::string &request) const;

    fleet::TimePoint m_now = fleet::fromMilliseconds(1'796'000'000'000);
    bool m_logDown = false;
    std::vector<Node> m_nodes;
    standin::LogStreams m_log;
    standin::ListVersions m_list;
    std::map<fleet::WorkerId, standin::WorkerState> m_workers;
    std::map<fleet::RunnerId, standin::RunnerState> m_runners;

private:
    void addTargets();
    void startNode(Node &node);
    instance::Ports makePorts(Node &node);
    /// Delivers after a random time; nothing reaches an instance that was killed.
    void later(const std::function<void()> &delivery);
    void tell(Node &node, const instance::Event &event);
    Node &nodeAt(const http::Address &address);

    boost::random::mt19937 m_random;
    std::uint64_t m_lastMessage = 0;
    std::uint64_t m_lastIncarnation = 0;
    std::map<std::pair<fleet::TimePoint, std::uint64_t>, std::function<void()>> m_messages;
};

}

#endif
