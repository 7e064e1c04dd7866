#ifndef COMPONENTS_API_METHOD_HPP
#define COMPONENTS_API_METHOD_HPP

#include <cstdint>

namespace api
{

/// HTTP methods that the interface knows.
enum class Method : std::uint8_t {
    Get,
    Post,
    Put,
    Delete,
    Other,
};

}

#endif
