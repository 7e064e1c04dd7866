#ifndef COMPONENTS_INSTANCE_CONTROL_HPP
#define COMPONENTS_INSTANCE_CONTROL_HPP

#include "components/fleet/incarnation.hpp"
#include "components/fleet/time.hpp"
#include "components/instance/events.hpp"
#include "components/instance/ports.hpp"

#include <memory>

namespace settings
{
struct DaemonSettings;
}

namespace instance
{

class ControlLoopMetrics;
struct Core;

/// Passes every event to the components that it concerns and carries out the actions that they return.
///
/// Reads no clock and opens no socket, so tests can run it in virtual time. Not thread-safe.
class Control
{
public:
    Control(const settings::DaemonSettings &settings, fleet::Incarnation incarnation, Ports ports);
    ~Control();

    Control(const Control &) = delete;
    Control &operator=(const Control &) = delete;

    void handle(const Event &event, fleet::TimePoint now);

    /// True if a planned stop is complete and the process may exit.
    bool isStopped() const;

    /// True if the planned stop completed all open work before its time limit.
    bool isClean() const;

    /// For status pages and tests.
    const Core &core() const;

private:
    std::unique_ptr<Core> m_core;
    std::unique_ptr<ControlLoopMetrics> m_metrics;
};

}

#endif
