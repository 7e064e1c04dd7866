#ifndef COMPONENTS_API_OBJECT_READER_HPP
#define COMPONENTS_API_OBJECT_READER_HPP

#include <boost/json/fwd.hpp>

#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace api
{

/// Reads the members of one JSON object strictly. Each access throws Error with the member's name and the remedy if the
/// member is missing or of the wrong type; rejectUnreadMembers() throws if the object has members that were not read.
class ObjectReader
{
public:
    /// `description` names the object in error messages. The value has to outlive the reader.
    ObjectReader(const boost::json::value &value, std::string description);

    bool has(std::string_view key) const;
    std::string text(std::string_view key);
    std::string text(std::string_view key, std::string_view defaultValue);
    std::int64_t integer(std::string_view key, std::int64_t minimum, std::int64_t maximum);
    std::int64_t integer(std::string_view key, std::int64_t minimum, std::int64_t maximum, std::int64_t defaultValue);
    double number(std::string_view key, double defaultValue);
    bool flag(std::string_view key, bool defaultValue);
    const boost::json::value &member(std::string_view key);
    const boost::json::array &list(std::string_view key);
    /// @throws Error if the object has a member that was not read.
    void rejectUnreadMembers() const;

private:
    const boost::json::object *m_object;
    std::string m_description;
    std::set<std::string, std::less<>> m_read;
};

}

#endif
