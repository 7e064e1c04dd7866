#ifndef COMPONENTS_API_METHOD_HPP
#define COMPONENTS_API_METHOD_HPP

#include <cstdint>

namespace api
{

/// HTTP methods of the interface. Other covers every method that it does not support.
enum class Method : std::uint8_t {
    Get,
    Post,
    Put,
    Delete,
    Other,
};

}

#endif
