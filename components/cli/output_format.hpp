#ifndef COMPONENTS_CLI_OUTPUT_FORMAT_HPP
#define COMPONENTS_CLI_OUTPUT_FORMAT_HPP

#include <cstdint>

namespace cli
{

enum class OutputFormat : std::uint8_t {
    Table,
    /// The instance's response as JSON.
    Json,
};

}

#endif
