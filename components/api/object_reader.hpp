#ifndef COMPONENTS_API_OBJECT_READER_HPP
#define COMPONENTS_API_OBJECT_READER_HPP

#include <boost/json/fwd.hpp>

#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace api
{

/// Reads the members of one JSON object strictly: each access throws Error with the member's name and the remedy when
/// the type is wrong, and finish() refuses members that nobody asked for.
class ObjectReader
{
public:
    /// `what` names the object in messages. The value has to outlive the reader.
    ObjectReader(const boost::json::value &value, std::string what);

    bool has(std::string_view key) const;
    std::string text(std::string_view key);
    std::string text(std::string_view key, std::string_view absent);
    std::int64_t integer(std::string_view key, std::int64_t lowest, std::int64_t highest);
    std::int64_t integer(std::string_view key, std::int64_t lowest, std::int64_t highest, std::int64_t absent);
    double number(std::string_view key, double absent);
    bool flag(std::string_view key, bool absent);
    const boost::json::value &member(std::string_view key);
    const boost::json::array &list(std::string_view key);
    /// Throws where the object has a member that was not read.
    void finish() const;

private:
    const boost::json::object *m_object;
    std::string m_what;
    std::set<std::string, std::less<>> m_read;
};

}

#endif
