#include "components/logging/line.hpp"

#include <string>

#include <criterion/criterion.h>

Test(line, valueOfAnyBytes_staysOneLineOfText)
{
    const auto textOf = [](const std::string &value) {
        return logging::Line("part", "event").add("key", value).text();
    };
    cr_assert_eq(textOf("i-7"), std::string("part=part event=event key=i-7"));
    cr_assert_eq(textOf("a b"), std::string("part=part event=event key=\"a b\""));
    cr_assert_eq(textOf("a\r\nb=\"\\"), std::string("part=part event=event key=\"a\\x0d\\x0ab=\\\"\\\\\""));
    cr_assert_eq(textOf("\xff\x7f"), std::string("part=part event=event key=\"\\xff\\x7f\""));
    cr_assert_eq(textOf(std::string(1, '\0')), std::string("part=part event=event key=\"\\x00\""));
}
