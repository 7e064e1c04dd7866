#ifndef COMPONENTS_WIRE_CODEC_ERROR_HPP
#define COMPONENTS_WIRE_CODEC_ERROR_HPP

#include <stdexcept>

namespace wire
{

/// Bytes that are not a well-formed value. The reader skips and counts them; its state stays as it was.
class CodecError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

}

#endif
