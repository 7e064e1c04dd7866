#include "components/api/object_reader.hpp"

#include "components/api/error.hpp"

#include <boost/json.hpp>

#include <utility>

namespace api
{

namespace
{

[[noreturn]] void throwBadRequest(const std::string &message)
{
    throw Error(ErrorKind::BadRequest, message);
}

}

ObjectReader::ObjectReader(const boost::json::value &value, std::string description)
    : m_object(value.if_object())
    , m_description(std::move(description))
{
    if (!m_object) {
        throwBadRequest(m_description + " is not a JSON object; send an object");
    }
}

bool ObjectReader::has(std::string_view key) const
{
    return m_object->contains(key);
}

const boost::json::value &ObjectReader::member(std::string_view key)
{
    m_read.emplace(key);
    const boost::json::value *found = m_object->if_contains(key);
    if (!found) {
        throwBadRequest(m_description + " has no member '" + std::string(key) + "'; add it");
    }
    return *found;
}

std::string ObjectReader::text(std::string_view key)
{
    const boost::json::value &value = member(key);
    if (!value.is_string()) {
        throwBadRequest(m_description + ": '" + std::string(key) + "' is not a string; put it in quotes");
    }
    return std::string(value.as_string());
}

std::string ObjectReader::text(std::string_view key, std::string_view defaultValue)
{
    return has(key) ? text(key) : std::string(defaultValue);
}

std::int64_t ObjectReader::integer(std::string_view key, std::int64_t minimum, std::int64_t maximum)
{
    const boost::json::value &value = member(key);
    boost::system::error_code error;
    const auto number = value.to_number<std::int64_t>(error);
    if (error || value.is_double() || number < minimum || number > maximum) {
        throwBadRequest(m_description + ": '" + std::string(key) + "' is not a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum)
                        + "; correct it");
    }
    return number;
}

std::int64_t ObjectReader::integer(std::string_view key, std::int64_t minimum, std::int64_t maximum, std::int64_t defaultValue)
{
    return has(key) ? integer(key, minimum, maximum) : defaultValue;
}

double ObjectReader::number(std::string_view key, double defaultValue)
{
    if (!has(key)) {
        return defaultValue;
    }
    const boost::json::value &value = member(key);
    boost::system::error_code error;
    const auto number = value.to_number<double>(error);
    if (error) {
        throwBadRequest(m_description + ": '" + std::string(key) + "' is not a number; correct it");
    }
    return number;
}

bool ObjectReader::flag(std::string_view key, bool defaultValue)
{
    if (!has(key)) {
        return defaultValue;
    }
    const boost::json::value &value = member(key);
    if (!value.is_bool()) {
        throwBadRequest(m_description + ": '" + std::string(key) + "' is not true or false; correct it");
    }
    return value.as_bool();
}

const boost::json::array &ObjectReader::list(std::string_view key)
{
    const boost::json::value &value = member(key);
    if (!value.is_array()) {
        throwBadRequest(m_description + ": '" + std::string(key) + "' is not an array; put it in brackets");
    }
    return value.as_array();
}

void ObjectReader::rejectUnreadMembers() const
{
    for (const auto &member : *m_object) {
        if (!m_read.contains(member.key())) {
            throwBadRequest(m_description + " has the unknown member '" + std::string(member.key()) + "'; remove it or correct its name");
        }
    }
}

}
