#include "components/requests/request_id_parts.hpp"

#include "components/wire/mac.hpp"

#include <charconv>
#include <string>
#include <string_view>
#include <vector>

namespace requests
{

namespace
{

/// Length of the tag in an id, in bytes.
constexpr std::size_t tagLength = 12;
constexpr std::size_t maxIdLength = 256;
constexpr int hexadecimal = 16;

std::string toHex(std::string_view bytes)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (const char c : bytes) {
        const auto byte = static_cast<unsigned char>(c);
        text += digits[byte >> 4U];
        text += digits[byte & 15U];
    }
    return text;
}

std::string toHex(std::uint64_t value)
{
    char buffer[hexadecimal];
    const auto end = std::to_chars(buffer, buffer + sizeof(buffer), value, hexadecimal).ptr;
    return {buffer, end};
}

std::optional<std::uint64_t> fromHex(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, hexadecimal);
    if (text.empty() || error != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

std::string signedPart(const RequestIdParts &id)
{
    return id.m_instance.value() + '.' + toHex(id.m_incarnation.m_value) + '.' + toHex(id.m_counter);
}

/// Removes the part after the last dot from `text`, with the dot, and returns it.
std::string_view removeLastPart(std::string_view &text)
{
    const std::size_t dot = text.rfind('.');
    if (dot == std::string_view::npos) {
        return {};
    }
    const std::string_view part = text.substr(dot + 1);
    text.remove_suffix(part.size() + 1);
    return part;
}

}

fleet::RequestId formatId(const wire::Keys &keys, const RequestIdParts &id)
{
    const std::string text = signedPart(id);
    return fleet::RequestId(text + '.' + toHex(wire::sign(keys, text).substr(0, tagLength)));
}

std::optional<RequestIdParts> parseId(const wire::Keys &keys, const fleet::RequestId &text)
{
    if (text.value().size() > maxIdLength) {
        return std::nullopt;
    }
    std::string_view rest = text.value();
    removeLastPart(rest);
    const std::optional<std::uint64_t> counter = fromHex(removeLastPart(rest));
    const std::optional<std::uint64_t> incarnation = fromHex(removeLastPart(rest));
    if (!counter || !incarnation || rest.empty()) {
        return std::nullopt;
    }
    RequestIdParts id {fleet::InstanceId(std::string(rest)), {*incarnation}, *counter};
    // Comparing the whole text also rejects other spellings of the same id, such as upper-case digits.
    wire::Keys other {keys.m_accepted, {}};
    const bool genuine = formatId(keys, id) == text || (!keys.m_accepted.empty() && formatId(other, id) == text);
    return genuine ? std::optional(id) : std::nullopt;
}

}
