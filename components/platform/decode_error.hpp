#ifndef COMPONENTS_PLATFORM_DECODE_ERROR_HPP
#define COMPONENTS_PLATFORM_DECODE_ERROR_HPP

#include <stdexcept>

namespace platform
{

/// Thrown where a platform message does not have the documented form. The error text names the invalid field or value.
class DecodeError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

}

#endif
