#ifndef COMPONENTS_SITE_SITE_FIXTURE_TEST_HPP
#define COMPONENTS_SITE_SITE_FIXTURE_TEST_HPP

#include "components/api/replies.hpp"
#include "components/instance/control.hpp"
#include "components/settings/daemon_settings.hpp"
#include "components/standin/list_table.hpp"
#include "components/standin/log_table.hpp"
#include "components/standin/runner_table.hpp"
#include "components/standin/worker_table.hpp"

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
struct SiteInstance
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
    std::optional<api::Reply> call(std::size_t index, const std::string &method, const std::string &target, const std::string &body = {});

    /// Ends the process without notice.
    void kill(std::size_t index);
    /// Asks for a planned stop and lets time pass until the process exits, at most `limit`. False where it did not.
    bool stop(std::size_t index, fleet::Duration limit);
    /// Starts a new incarnation in place of the instance.
    void restart(std::size_t index);

    std::uint64_t configurationVersion(std::size_t index) const;
    /// Present version, for the next change.
    std::string madeFrom() const;

    /// Time of each start of a task in the zone.
    std::vector<fleet::TimePoint> startsIn(const std::string &zone) const;
    /// Times that runners received the request.
    int received(const std::string &request) const;

    fleet::TimePoint m_now = fleet::fromMilliseconds(1'796'000'000'000);
    bool m_logDown = false;
    std::vector<SiteInstance> m_instances;
    standin::LogTable m_log;
    standin::ListTable m_list;
    std::map<fleet::WorkerId, standin::WorkerTable> m_workers;
    std::map<fleet::RunnerId, standin::RunnerTable> m_runners;

private:
    void addTargets();
    void startInstance(SiteInstance &instance);
    instance::Ports makePorts(SiteInstance &instance);
    /// Delivers after a random time; nothing reaches an instance that was killed.
    void deliverLater(const std::function<void()> &delivery);
    void sendEvent(SiteInstance &instance, const instance::Event &event);
    SiteInstance &instanceAt(const http::Address &address);

    boost::random::mt19937 m_random;
    std::uint64_t m_lastMessage = 0;
    std::uint64_t m_lastIncarnation = 0;
    std::map<std::pair<fleet::TimePoint, std::uint64_t>, std::function<void()>> m_messages;
};

}

#endif
