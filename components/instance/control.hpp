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

/// The control loop's body: feeds every event to the slices that it concerns and carries out what they decide.
///
/// It reads no clock, opens no socket and is used by one thread.
class Control
{
public:
    Control(const settings::DaemonSettings &settings, fleet::Incarnation incarnation, Ports ports);
    ~Control();

    Control(const Control &) = delete;
    Control &operator=(const Control &) = delete;

    void handle(const Event &event, fleet::TimePoint now);

    /// True where a planned stop is complete and the process may exit.
    bool isStopped() const;

    /// True where the planned stop cut nothing short.
    bool isClean() const;

    /// For status pages and tests.
    const Core &core() const;

private:
    std::unique_ptr<Core> m_core;
    std::unique_ptr<ControlLoopMetrics> m_metrics;
};

}

#endif
