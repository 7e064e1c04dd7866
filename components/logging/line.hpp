#ifndef COMPONENTS_LOGGING_LINE_HPP
#define COMPONENTS_LOGGING_LINE_HPP

#include "components/fleet/time.hpp"
#include "components/logging/level.hpp"

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace logging
{

/// One structured log line: part of the program, event and named values, as in "part=dispatch event=launch job=5c0e".
///
/// Values with blanks, quotes, equals signs, backslashes or bytes that are not printable ASCII are quoted, and such bytes written as \xNN,
/// so that a line can be parsed whatever it quotes.
class Line
{
public:
    /// `part` and `event` must be string literals, in lower case with dashes; the pointers are kept.
    Line(const char *part, const char *event, Level level = Level::Info);

    /// Adds a value to an existing line, for values that only some lines of an event have.
    void append(const char *name, std::string_view value);

    Line &&add(const char *name, std::string_view value) &&;
    Line &&add(const char *name, const char *value) &&;

    template<std::integral Number>
    requires(!std::same_as<Number, bool>) Line && add(const char *name, Number value) && {
        addNumber(name, static_cast<std::int64_t>(value));
        return std::move(*this);
    }

    Line &&add(const char *name, bool value) &&;
    /// Written in milliseconds.
    Line &&add(const char *name, fleet::Duration value) &&;

    const char *part() const;
    const char *event() const;
    Level level() const;
    /// Text of the line without time, level and line end.
    const std::string &text() const;

    bool operator==(const Line &other) const;

private:
    void addNumber(const char *name, std::int64_t value);

    const char *m_part;
    const char *m_event;
    Level m_level;
    std::string m_text;
};

}

#endif
