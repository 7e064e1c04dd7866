#include "components/settings/parse.hpp"

#include <arpa/inet.h>

#include <charconv>
#include <cmath>

namespace settings
{

namespace
{

constexpr int maxPort = 65535;
constexpr std::int64_t maxDurationCount = 1'000'000;

std::optional<fleet::Duration> unitLength(const std::string &unit)
{
    if (unit == "ms") {
        return std::chrono::milliseconds(1);
    }
    if (unit == "s") {
        return std::chrono::seconds(1);
    }
    if (unit == "min") {
        return std::chrono::minutes(1);
    }
    if (unit == "h") {
        return std::chrono::hours(1);
    }
    if (unit == "d") {
        return std::chrono::hours(24);
    }
    return std::nullopt;
}

std::optional<std::int64_t> parseWholeNumber(const std::string &text, std::int64_t maximum)
{
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() || value < 0 || value > maximum) {
        return std::nullopt;
    }
    return value;
}

/// Parses a decimal number with an optional fraction.
std::optional<double> parseNumber(const std::string &text, std::int64_t maximum)
{
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, std::chars_format::fixed);
    if (error != std::errc() || end != text.data() + text.size() || !(value >= 0) || value > static_cast<double>(maximum)) {
        return std::nullopt;
    }
    return value;
}

bool isIpNumber(const std::string &address, int family)
{
    unsigned char buffer[sizeof(in6_addr)];
    return inet_pton(family, address.c_str(), buffer) == 1;
}

}

std::optional<fleet::Duration> parseDuration(const std::string &text)
{
    const std::size_t space = text.find(' ');
    if (space == std::string::npos) {
        return std::nullopt;
    }
    const std::optional<double> count = parseNumber(text.substr(0, space), maxDurationCount);
    const std::optional<fleet::Duration> unit = unitLength(text.substr(space + 1));
    if (!count || !unit) {
        return std::nullopt;
    }
    return fleet::Duration(static_cast<std::int64_t>(std::llround(static_cast<double>(unit->count()) * *count)));
}

std::optional<Endpoint> parseEndpoint(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    const std::optional<std::int64_t> port = parseWholeNumber(text.substr(colon + 1), maxPort);
    std::string address = text.substr(0, colon);
    const bool bracketed = address.size() > 2 && address.front() == '[' && address.back() == ']';
    if (bracketed) {
        address = address.substr(1, address.size() - 2);
    }
    if (!port || !isIpNumber(address, bracketed ? AF_INET6 : AF_INET)) {
        return std::nullopt;
    }
    return Endpoint {address, static_cast<std::uint16_t>(*port)};
}

std::optional<logging::Level> parseLevel(const std::string &text)
{
    if (text == "debug") {
        return logging::Level::Debug;
    }
    if (text == "info") {
        return logging::Level::Info;
    }
    if (text == "warning") {
        return logging::Level::Warning;
    }
    if (text == "error") {
        return logging::Level::Error;
    }
    return std::nullopt;
}

}
