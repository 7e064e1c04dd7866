#include "components/platform/base64.hpp"

#include "components/platform/decode_error.hpp"

#include <algorithm>
#include <openssl/evp.h>

namespace platform
{

namespace
{

constexpr std::size_t encodedGroupChars = 4;
constexpr std::size_t decodedGroupBytes = 3;

std::size_t paddingLength(std::string_view text)
{
    const auto last = text.find_last_not_of('=');
    return last == std::string_view::npos ? text.size() : text.size() - last - 1;
}

}

std::string encodeBase64(std::string_view bytes)
{
    std::string text((bytes.size() + decodedGroupBytes - 1) / decodedGroupBytes * encodedGroupChars + 1, '\0');
    const int length = EVP_EncodeBlock(
        reinterpret_cast<unsigned char *>(text.data()), reinterpret_cast<const unsigned char *>(bytes.data()), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

std::string decodeBase64(std::string_view text)
{
    if (text.empty()) {
        return {};
    }
    const auto padding = paddingLength(text);
    // EVP_DecodeBlock skips white space at both ends, which would make the computed length wrong.
    const bool hasWhitespace = text.find_first_of(" \t\r\n") != std::string_view::npos;
    const bool hasInnerPadding = text.find('=') < text.size() - padding;
    if (hasWhitespace || hasInnerPadding || text.size() % encodedGroupChars != 0 || padding >= decodedGroupBytes) {
        throw DecodeError("a string is not base64; send it padded and without white space");
    }
    std::string bytes(text.size() / encodedGroupChars * decodedGroupBytes, '\0');
    const int length
        = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()), reinterpret_cast<const unsigned char *>(text.data()), static_cast<int>(text.size()));
    if (length < 0) {
        throw DecodeError("a string is not base64; send it padded and without white space");
    }
    bytes.resize(static_cast<std::size_t>(length) - padding);
    return bytes;
}

}
