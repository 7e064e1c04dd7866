#include "components/http/request_target.hpp"

#include "components/http/request.hpp"
#include "components/http/response.hpp"

#include <algorithm>
#include <cctype>

namespace http
{

namespace
{

constexpr std::string_view hexDigits = "0123456789ABCDEF";

int hexValue(char digit)
{
    const auto found = hexDigits.find(static_cast<char>(std::toupper(static_cast<unsigned char>(digit))));
    return found == std::string_view::npos ? -1 : static_cast<int>(found);
}

std::string percentDecode(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const bool escape = text[i] == '%' && i + 2 < text.size() && hexValue(text[i + 1]) >= 0 && hexValue(text[i + 2]) >= 0;
        if (escape) {
            decoded += static_cast<char>(hexValue(text[i + 1]) * 16 + hexValue(text[i + 2]));
            i += 2;
        } else {
            decoded += text[i];
        }
    }
    return decoded;
}

std::vector<std::string_view> split(std::string_view text, char separator)
{
    std::vector<std::string_view> parts;
    while (!text.empty()) {
        const auto end = text.find(separator);
        parts.push_back(text.substr(0, end));
        text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
    }
    return parts;
}

bool equalsIgnoringCase(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](unsigned char left, unsigned char right) {
        return std::tolower(left) == std::tolower(right);
    });
}

std::optional<std::string> findValue(const std::vector<Header> &headers, std::string_view name)
{
    for (const auto &header : headers) {
        if (equalsIgnoringCase(header.m_name, name)) {
            return header.m_value;
        }
    }
    return std::nullopt;
}

}

std::string_view pathOf(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

std::vector<std::string> pathSegments(std::string_view target)
{
    std::vector<std::string> segments;
    for (const auto part : split(pathOf(target), '/')) {
        if (!part.empty()) {
            segments.push_back(percentDecode(part));
        }
    }
    return segments;
}

std::optional<std::string> queryValue(std::string_view target, std::string_view name)
{
    const auto query = target.find('?');
    if (query == std::string_view::npos) {
        return std::nullopt;
    }
    for (const auto part : split(target.substr(query + 1), '&')) {
        const auto equals = part.find('=');
        if (percentDecode(part.substr(0, equals)) == name) {
            return equals == std::string_view::npos ? std::string() : percentDecode(part.substr(equals + 1));
        }
    }
    return std::nullopt;
}

std::string percentEncode(std::string_view text)
{
    std::string encoded;
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        if (std::isalnum(byte) != 0 || character == '-' || character == '_' || character == '.' || character == '~') {
            encoded += character;
        } else {
            encoded += '%';
            encoded += hexDigits[byte >> 4U];
            encoded += hexDigits[byte & 15U];
        }
    }
    return encoded;
}

std::optional<std::string> headerValue(const Request &request, std::string_view name)
{
    return findValue(request.m_headers, name);
}

std::optional<std::string> headerValue(const Response &response, std::string_view name)
{
    return findValue(response.m_headers, name);
}

}
