#ifndef COMPONENTS_PLATFORM_DECODE_ERROR_HPP
#define COMPONENTS_PLATFORM_DECODE_ERROR_HPP

#include <stdexcept>

namespace platform
{

/// A message of the platform did not have the documented form. The message names the field.
class DecodeError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

}

#endif
