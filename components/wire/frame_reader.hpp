#ifndef COMPONENTS_WIRE_FRAME_READER_HPP
#define COMPONENTS_WIRE_FRAME_READER_HPP

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace wire
{

/// Largest sealed message in a frame, in bytes.
constexpr std::size_t maxFrameLength = std::size_t {8} << 20;

/// Puts the length before a sealed message, as four bytes in little-endian order. Throws FrameError where it is too long.
std::string makeFrame(std::string_view message);

/// Cuts the bytes of one TCP connection into messages.
class FrameReader
{
public:
    /// Adds received bytes.
    void push(std::string_view bytes);

    /// Takes the next whole message; empty where more bytes are needed. Throws FrameError where the next length is 0 or
    /// above the limit.
    std::optional<std::string> next();

private:
    std::string m_buffer;
};

}

#endif
