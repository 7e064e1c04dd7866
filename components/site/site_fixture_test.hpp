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

/// One instance of the site: the control loop of the daemon without its sockets.
struct SiteInstance
{
    settings::DaemonSettings m_settings;
    std::unique_ptr<instance::Control> m_control;
    std::uint64_t m_lastWaiter = 0;
    std::uint64_t m_lastId = 0;
    std::map<requests::WaiterId, api::Reply> m_replies;
    /// Callbacks for the replies to calls from other instances.
    std::map<requests::WaiterId, std::function<void(const instance::PeerReply &)>> m_peerWaiters;
    bool m_killed = false;
};

/// Three instances in three availability zones with in-memory stand-ins for log, list, workers and runners, in virtual
/// time. Each message has a random delay from a seeded generator, so messages are reordered; datagrams are also lost and
/// duplicated.
struct Site
{
    explicit Site(unsigned seed);

    /// Advances the virtual time.
    void run(fleet::Duration duration);
    /// Advances the time until the condition is true, at most by `limit`. Returns false if it did not become true.
    bool runUntil(const std::function<bool()> &condition, fleet::Duration limit);

    /// Sends one HTTP call to an instance and advances the time until its reply. Returns nothing if the call times out.
    /// @throws api::Error if the call cannot be parsed.
    std::optional<api::Reply> call(std::size_t index, const std::string &method, const std::string &target, const std::string &body = {});

    /// Ends the process without a planned stop.
    void kill(std::size_t index);
    /// Requests a planned stop and advances the time until the process exits, at most by `limit`. Returns true if it stopped
    /// in time and cleanly.
    bool stop(std::size_t index, fleet::Duration limit);
    /// Replaces the instance by a new incarnation.
    void restart(std::size_t index);

    std::uint64_t configurationVersion(std::size_t index) const;
    /// JSON members of the next change: the operator and the current version.
    std::string madeFrom() const;

    /// Start times of all tasks in the zone.
    std::vector<fleet::TimePoint> startsIn(const std::string &zone) const;
    /// How often runners received the request.
    int received(const std::string &request) const;

    fleet::TimePoint m_now = fleet::fromMilliseconds(1'796'000'000'000);
    bool m_logDown = false;
    std::vector<SiteInstance> m_instances;
    standin::LogStreams m_log;
    standin::ListVersions m_list;
    std::map<fleet::WorkerId, standin::WorkerState> m_workers;
    std::map<fleet::RunnerId, standin::RunnerState> m_runners;

private:
    void addTargets();
    void startInstance(SiteInstance &instance);
    instance::Ports makePorts(SiteInstance &instance);
    /// Calls `delivery` after a random delay.
    void deliverLater(const std::function<void()> &delivery);
    /// Sends an event to an instance after a random delay. It is lost if the instance is killed or restarted by then.
    void sendEvent(SiteInstance &instance, const instance::Event &event);
    SiteInstance &instanceAt(const http::Address &address);

    boost::random::mt19937 m_random;
    std::uint64_t m_lastMessage = 0;
    std::uint64_t m_lastIncarnation = 0;
    std::map<std::pair<fleet::TimePoint, std::uint64_t>, std::function<void()>> m_messages;
};

}

#endif
