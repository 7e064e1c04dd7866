#ifndef COMPONENTS_PLATFORM_BASE64_HPP
#define COMPONENTS_PLATFORM_BASE64_HPP

#include <string>
#include <string_view>

namespace platform
{

std::string encodeBase64(std::string_view bytes);

/// @throws DecodeError where the text is not padded base64.
std::string decodeBase64(std::string_view text);

}

#endif
