#ifndef COMPONENTS_NODE_CLOCKS_HPP
#define COMPONENTS_NODE_CLOCKS_HPP

#include "components/fleet/now.hpp"

namespace node
{

/// Reads the machine's clocks. The only place that does.
fleet::Now currentTime();

}

#endif
