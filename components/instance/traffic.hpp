#ifndef COMPONENTS_INSTANCE_TRAFFIC_HPP
#define COMPONENTS_INSTANCE_TRAFFIC_HPP

#include "components/fleet/incarnation.hpp"
#include "components/fleet/time.hpp"
#include "components/instance/event_queue.hpp"
#include "components/instance/events.hpp"
#include "components/instance/ports.hpp"

#include <memory>

namespace settings
{
struct DaemonSettings;
}

namespace instance
{

/// Every socket of one instance and the threads that serve them.
class Traffic
{
public:
    /// Listens and serves at once. All references must outlive this object.
    /// @throws std::exception where an address cannot be bound.
    Traffic(const settings::DaemonSettings &settings, fleet::Incarnation incarnation, EventQueue<Event> &queue);
    ~Traffic();

    Traffic(const Traffic &) = delete;
    Traffic &operator=(const Traffic &) = delete;

    /// The control loop's way out. Valid as long as this object.
    Ports ports();

    /// Stops listening and waits until open connections have their answers, at most `limit`.
    void stop(fleet::Duration limit);

private:
    struct Sockets;
    std::unique_ptr<Sockets> m_sockets;
};

}

#endif
