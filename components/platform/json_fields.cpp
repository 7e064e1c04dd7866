#include "components/platform/json_fields.hpp"

#include "components/platform/decode_error.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include <algorithm>
#include <limits>

namespace platform
{

namespace
{

[[noreturn]] void rejectField(std::string_view name, std::string_view expected)
{
    throw DecodeError("the field '" + std::string(name) + "' is missing or invalid; send " + std::string(expected));
}

}

boost::json::object parseObject(std::string_view text)
{
    boost::system::error_code error;
    auto value = boost::json::parse({text.data(), text.size()}, error);
    if (error) {
        throw DecodeError("the message is not JSON (" + error.message() + "); send one JSON object");
    }
    if (!value.is_object()) {
        throw DecodeError("the message is not a JSON object; send one");
    }
    return std::move(value.as_object());
}

const boost::json::object &asObject(const boost::json::value &value)
{
    if (!value.is_object()) {
        throw DecodeError("an element of an array is not a JSON object; send one");
    }
    return value.get_object();
}

const boost::json::array &arrayField(const boost::json::object &object, std::string_view name)
{
    const auto *value = object.if_contains({name.data(), name.size()});
    if (value == nullptr || !value->is_array()) {
        rejectField(name, "an array");
    }
    return value->get_array();
}

std::string stringField(const boost::json::object &object, std::string_view name)
{
    const auto *value = object.if_contains({name.data(), name.size()});
    if (value == nullptr || !value->is_string()) {
        rejectField(name, "a string");
    }
    const auto &text = value->get_string();
    return {text.data(), text.size()};
}

std::string stringField(const boost::json::object &object, std::string_view name, std::string_view fallback)
{
    return object.contains({name.data(), name.size()}) ? stringField(object, name) : std::string(fallback);
}

std::vector<std::string> stringArrayField(const boost::json::object &object, std::string_view name)
{
    std::vector<std::string> texts;
    if (!object.contains({name.data(), name.size()})) {
        return texts;
    }
    for (const auto &element : arrayField(object, name)) {
        if (!element.is_string()) {
            rejectField(name, "an array of strings");
        }
        texts.emplace_back(element.get_string().data(), element.get_string().size());
    }
    return texts;
}

std::int64_t nonNegativeField(const boost::json::object &object, std::string_view name)
{
    const auto *value = object.if_contains({name.data(), name.size()});
    const auto *number = value == nullptr ? nullptr : value->if_int64();
    if (number == nullptr || *number < 0) {
        rejectField(name, "an integer of at least 0");
    }
    return *number;
}

std::int64_t nonNegativeField(const boost::json::object &object, std::string_view name, std::int64_t fallback)
{
    return object.contains({name.data(), name.size()}) ? nonNegativeField(object, name) : fallback;
}

int nonNegativeIntField(const boost::json::object &object, std::string_view name)
{
    const auto number = nonNegativeField(object, name);
    if (number > std::numeric_limits<int>::max()) {
        rejectField(name, "an integer of at most 2147483647");
    }
    return static_cast<int>(number);
}

int nonNegativeIntField(const boost::json::object &object, std::string_view name, int fallback)
{
    return object.contains({name.data(), name.size()}) ? nonNegativeIntField(object, name) : fallback;
}

bool boolField(const boost::json::object &object, std::string_view name, bool fallback)
{
    const auto *value = object.if_contains({name.data(), name.size()});
    if (value == nullptr) {
        return fallback;
    }
    if (!value->is_bool()) {
        rejectField(name, "true or false");
    }
    return value->get_bool();
}

void rejectUnknownFields(const boost::json::object &object, std::initializer_list<std::string_view> known)
{
    for (const auto &field : object) {
        const std::string_view name(field.key().data(), field.key().size());
        if (std::find(known.begin(), known.end(), name) == known.end()) {
            throw DecodeError("the field '" + std::string(name) + "' is unknown; remove it");
        }
    }
}

}
