#ifndef COMPONENTS_INSTANCE_INSTRUMENTED_PORTS_HPP
#define COMPONENTS_INSTANCE_INSTRUMENTED_PORTS_HPP

#include "components/instance/ports.hpp"

namespace metrics
{
class Registry;
}

namespace instance
{

/// Wraps the ports so that they count the messages that the control loop sends, by kind. `registry` must outlive the ports.
Ports instrument(Ports ports, metrics::Registry &registry);

}

#endif
