#ifndef COMPONENTS_CLI_SHAPE_OPTION_HPP
#define COMPONENTS_CLI_SHAPE_OPTION_HPP

#include "components/fleet/guaranteed_shape.hpp"

#include <string>

namespace cli
{

/// Parses a guarantee such as "tasks=8,accelerators=1,cores=4,memory-mb=8000,adjacency=same-rack,count=1,zones=kochi/thrissur".
/// @throws CommandError with code Usage; the message names the invalid part.
fleet::GuaranteedShape parseGuarantee(const std::string &text);

/// Parses an amount of resources such as "accelerators=64,cores=512,memory-mb=1000000".
/// @throws CommandError with code Usage; the message names the invalid part.
fleet::Resources parseResources(const std::string &text);

}

#endif
