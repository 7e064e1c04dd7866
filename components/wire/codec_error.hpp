#ifndef COMPONENTS_WIRE_CODEC_ERROR_HPP
#define COMPONENTS_WIRE_CODEC_ERROR_HPP

#include <stdexcept>

namespace wire
{

/// The bytes are not a well-formed value. The reader skips and counts them; its state does not change.
class CodecError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

}

#endif
