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

/// Owns every socket of one instance and the threads that serve them.
class Traffic
{
public:
    /// Starts listening and serving. All references must outlive this object.
    /// @throws std::exception if an address cannot be bound.
    Traffic(const settings::DaemonSettings &settings, fleet::Incarnation incarnation, EventQueue<Event> &queue);
    ~Traffic();

    Traffic(const Traffic &) = delete;
    Traffic &operator=(const Traffic &) = delete;

    /// Returns the ports of the control loop, which are valid as long as this object.
    Ports ports();

    /// Stops listening and waits at most `limit` until the open calls are answered.
    void stop(fleet::Duration limit);

private:
    struct Sockets;
    std::unique_ptr<Sockets> m_sockets;
};

}

#endif
