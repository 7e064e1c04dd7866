#ifndef COMPONENTS_NODE_CLOCKS_HPP
#define COMPONENTS_NODE_CLOCKS_HPP

#include "components/fleet/now.hpp"

namespace node
{

/// Reads the machine's clocks. Everything else in this component gets the time as a parameter.
fleet::Now currentTime();

}

#endif
