#include "components/wire/frame_reader.hpp"

#include "components/wire/wire_error.hpp"

#include <cstdint>
#include <cstring>

namespace wire
{

namespace
{

using Length = std::uint32_t;

}

std::string makeFrame(std::string_view message)
{
    if (message.empty() || message.size() > maxFrameLength) {
        throw FrameError("a message between instances must have 1 byte to 8 MiB; send less at once");
    }
    const auto length = static_cast<Length>(message.size());
    std::string frame(sizeof(length), '\0');
    std::memcpy(frame.data(), &length, sizeof(length));
    frame.append(message);
    return frame;
}

void FrameReader::push(std::string_view bytes)
{
    m_buffer.append(bytes);
}

std::optional<std::string> FrameReader::next()
{
    Length length = 0;
    if (m_buffer.size() < sizeof(length)) {
        return std::nullopt;
    }
    std::memcpy(&length, m_buffer.data(), sizeof(length));
    if (length == 0 || length > maxFrameLength) {
        throw FrameError("a frame has a length of " + std::to_string(length) + " bytes; close the connection and open another");
    }
    if (m_buffer.size() < sizeof(length) + length) {
        return std::nullopt;
    }
    std::string message = m_buffer.substr(sizeof(length), length);
    m_buffer.erase(0, sizeof(length) + length);
    return message;
}

}
