#ifndef COMPONENTS_INSTANCE_METERED_PORTS_HPP
#define COMPONENTS_INSTANCE_METERED_PORTS_HPP

#include "components/instance/ports.hpp"

namespace metrics
{
class Registry;
}

namespace instance
{

/// Counts what the control loop sends, by kind of message. `registry` must outlive the ports.
Ports meter(Ports ports, metrics::Registry &registry);

}

#endif
