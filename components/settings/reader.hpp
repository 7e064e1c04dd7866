#ifndef COMPONENTS_SETTINGS_READER_HPP
#define COMPONENTS_SETTINGS_READER_HPP

#include "components/fleet/time.hpp"
#include "components/logging/level.hpp"
#include "components/settings/endpoint.hpp"
#include "components/settings/problem.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace settings
{

/// Reads one TOML file key by key and collects all problems instead of stopping at the first.
///
/// Keys are dotted paths from the root, array elements by number, as in "peer.0.instance". `finish` adds a problem for
/// each key that was not read.
class Reader
{
public:
    /// Reads the file. Throws SettingsError if it can't be read or isn't TOML.
    static Reader fromFile(const std::string &path);
    /// Reads `text`; problems name `name` as the file.
    static Reader fromText(const std::string &text, const std::string &name);

    Reader(Reader &&) noexcept;
    Reader &operator=(Reader &&) noexcept;
    ~Reader();

    bool has(const std::string &key) const;
    /// Number of elements of the array of tables `key`; 0 if it is absent.
    std::size_t arraySize(const std::string &key);

    std::string requiredText(const std::string &key);
    std::string text(const std::string &key, const std::string &fallback);
    std::vector<std::string> requiredTexts(const std::string &key);
    /// A whole or decimal number.
    double number(const std::string &key, double fallback, double minimum, double maximum);
    std::int64_t integer(const std::string &key, std::int64_t fallback, std::int64_t minimum, std::int64_t maximum);
    bool boolean(const std::string &key, bool fallback);
    /// A number with a unit: "250 ms", "10 s", "5 min" or "1 h".
    fleet::Duration duration(const std::string &key, fleet::Duration fallback, fleet::Duration minimum, fleet::Duration maximum);
    /// "address:port", with an IPv4 address or an IPv6 address in brackets.
    Endpoint requiredEndpoint(const std::string &key);
    Endpoint endpoint(const std::string &key, const Endpoint &fallback);
    logging::Level level(const std::string &key, logging::Level fallback);

    /// Adds a problem found by the caller at `key`.
    void report(const std::string &key, const std::string &message, const std::string &remedy);

    /// Throws SettingsError if any problem was found or any key was not read.
    void finish();

private:
    Endpoint readEndpoint(const std::string &key, const std::string &written);
    struct Document;
    explicit Reader(std::unique_ptr<Document> document);

    std::unique_ptr<Document> m_document;
};

}

#endif
