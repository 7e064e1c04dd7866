#ifndef COMPONENTS_CLI_SHAPE_OPTION_HPP
#define COMPONENTS_CLI_SHAPE_OPTION_HPP

#include "components/fleet/guaranteed_shape.hpp"

#include <string>

namespace cli
{

/// Reads a guarantee such as "tasks=8,accelerators=1,cores=4,memory-mb=8000,adjacency=same-rack,count=1,zones=kochi/thrissur".
/// @throws CommandError with code Usage, naming the part that is wrong.
fleet::GuaranteedShape parseGuarantee(const std::string &text);

/// Reads an amount such as "accelerators=64,cores=512,memory-mb=1000000".
/// @throws CommandError with code Usage, naming the part that is wrong.
fleet::Resources parseResources(const std::string &text);

}

#endif
