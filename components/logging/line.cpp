#include "components/logging/line.hpp"

#include <algorithm>

namespace logging
{

namespace
{

constexpr std::string_view hexDigits = "0123456789abcdef";

bool needsQuotes(std::string_view value)
{
    return value.empty() || std::any_of(value.begin(), value.end(), [](unsigned char c) {
               return c <= ' ' || c >= 0x7f || c == '"' || c == '=' || c == '\\';
           });
}

void appendQuoted(std::string &text, std::string_view value)
{
    text += '"';
    for (const char c : value) {
        if (c == '"' || c == '\\') {
            text += '\\';
        }
        const auto byte = static_cast<unsigned char>(c);
        if (byte >= ' ' && byte < 0x7f) {
            text += c;
        } else {
            text += "\\x";
            text += hexDigits[byte >> 4U];
            text += hexDigits[byte & 15U];
        }
    }
    text += '"';
}

}

Line::Line(const char *part, const char *event, Level level)
    : m_part(part)
    , m_event(event)
    , m_level(level)
    , m_text(std::string("part=") + part + " event=" + event)
{
}

Line &&Line::add(const char *name, std::string_view value) &&
{
    append(name, value);
    return std::move(*this);
}

Line &&Line::add(const char *name, const char *value) &&
{
    append(name, value);
    return std::move(*this);
}

Line &&Line::add(const char *name, bool value) &&
{
    append(name, value ? "true" : "false");
    return std::move(*this);
}

Line &&Line::add(const char *name, fleet::Duration value) &&
{
    addNumber(name, value.count());
    return std::move(*this);
}

void Line::append(const char *name, std::string_view value)
{
    m_text += ' ';
    m_text += name;
    m_text += '=';
    if (needsQuotes(value)) {
        appendQuoted(m_text, value);
    } else {
        m_text += value;
    }
}

void Line::addNumber(const char *name, std::int64_t value)
{
    m_text += ' ';
    m_text += name;
    m_text += '=';
    m_text += std::to_string(value);
}

const char *Line::part() const
{
    return m_part;
}

const char *Line::event() const
{
    return m_event;
}

Level Line::level() const
{
    return m_level;
}

const std::string &Line::text() const
{
    return m_text;
}

bool Line::operator==(const Line &other) const
{
    return m_level == other.m_level && m_text == other.m_text;
}

}
