#ifndef COMPONENTS_PLATFORM_JSON_FIELDS_HPP
#define COMPONENTS_PLATFORM_JSON_FIELDS_HPP

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

namespace platform
{

/// Parses a text as one JSON object.
/// @throws DecodeError, as all functions here do, naming the field and what it should be.
boost::json::object parseObject(std::string_view text);

/// Returns an element of an array as an object.
const boost::json::object &asObject(const boost::json::value &value);

const boost::json::array &arrayField(const boost::json::object &object, std::string_view name);
std::string stringField(const boost::json::object &object, std::string_view name);
std::string stringField(const boost::json::object &object, std::string_view name, std::string_view fallback);
/// An array of strings; empty where the field is absent.
std::vector<std::string> stringArrayField(const boost::json::object &object, std::string_view name);
/// An integer of at least 0.
std::int64_t nonNegativeField(const boost::json::object &object, std::string_view name);
std::int64_t nonNegativeField(const boost::json::object &object, std::string_view name, std::int64_t fallback);
/// An integer from 0 to the largest int.
int nonNegativeIntField(const boost::json::object &object, std::string_view name);
int nonNegativeIntField(const boost::json::object &object, std::string_view name, int fallback);
bool boolField(const boost::json::object &object, std::string_view name, bool fallback);

/// Rejects an object that has a field not named in `known`.
void rejectUnknownFields(const boost::json::object &object, std::initializer_list<std::string_view> known);

}

#endif
