#include "components/settings/reader.hpp"

#include "components/settings/parse.hpp"
#include "components/settings/settings_error.hpp"

#include <toml++/toml.h>

#include <fstream>
#include <set>
#include <sstream>

namespace settings
{

struct Reader::Document
{
    std::string m_file;
    toml::table m_root;
    std::set<std::string> m_readKeys;
    std::vector<Problem> m_problems;

    const toml::node *find(const std::string &key) const;
    const toml::node *findAndMarkRead(const std::string &key);
    void reportUnread(const std::string &prefix, const toml::node &node);
};

namespace
{

std::vector<std::string> splitKey(const std::string &key)
{
    std::vector<std::string> parts;
    std::istringstream stream(key);
    for (std::string part; std::getline(stream, part, '.');) {
        parts.push_back(part);
    }
    return parts;
}

const toml::node *child(const toml::node &node, const std::string &part)
{
    if (const toml::table *table = node.as_table()) {
        return table->get(part);
    }
    if (const toml::array *array = node.as_array()) {
        return array->get(std::stoul(part));
    }
    return nullptr;
}

int lineOf(const toml::node *node)
{
    return node != nullptr ? static_cast<int>(node->source().begin.line) : 0;
}

}

const toml::node *Reader::Document::find(const std::string &key) const
{
    const toml::node *node = &m_root;
    for (const std::string &part : splitKey(key)) {
        node = child(*node, part);
        if (node == nullptr) {
            return nullptr;
        }
    }
    return node;
}

const toml::node *Reader::Document::findAndMarkRead(const std::string &key)
{
    m_readKeys.insert(key);
    return find(key);
}

void Reader::Document::reportUnread(const std::string &prefix, const toml::node &node)
{
    const auto visit = [this](const std::string &key, const toml::node &value) {
        if (m_readKeys.contains(key)) {
            return;
        }
        if (value.is_table() || value.is_array_of_tables()) {
            reportUnread(key, value);
            return;
        }
        m_problems.push_back({m_file, lineOf(&value), key, "unknown key", "remove it or correct its spelling"});
    };
    if (const toml::table *table = node.as_table()) {
        for (const auto &[key, value] : *table) {
            visit(prefix.empty() ? std::string(key.str()) : prefix + "." + std::string(key.str()), value);
        }
    }
    if (const toml::array *array = node.as_array()) {
        for (std::size_t index = 0; index < array->size(); ++index) {
            visit(prefix + "." + std::to_string(index), *array->get(index));
        }
    }
}

Reader::Reader(std::unique_ptr<Document> document)
    : m_document(std::move(document))
{
}

Reader::Reader(Reader &&) noexcept = default;
Reader &Reader::operator=(Reader &&) noexcept = default;
Reader::~Reader() = default;

Reader Reader::fromFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        throw SettingsError({{path, 0, "-", "the file can't be read", "check the path and its permissions"}});
    }
    std::ostringstream text;
    text << file.rdbuf();
    return fromText(text.str(), path);
}

Reader Reader::fromText(const std::string &text, const std::string &name)
{
    auto document = std::make_unique<Document>();
    document->m_file = name;
    try {
        document->m_root = toml::parse(text, name);
    } catch (const toml::parse_error &error) {
        const int line = static_cast<int>(error.source().begin.line);
        throw SettingsError({{name, line, "-", std::string(error.description()), "correct the TOML at this line"}});
    }
    return Reader(std::move(document));
}

bool Reader::has(const std::string &key) const
{
    return m_document->find(key) != nullptr;
}

std::size_t Reader::arraySize(const std::string &key)
{
    const toml::node *node = m_document->find(key);
    if (node == nullptr) {
        return 0;
    }
    const toml::array *array = node->as_array();
    if (array == nullptr || (!array->empty() && !array->is_array_of_tables())) {
        report(key, "is not an array of tables", "write it as [[" + key + "]]");
        return 0;
    }
    return array->size();
}

std::string Reader::requiredText(const std::string &key)
{
    if (!has(key)) {
        m_document->findAndMarkRead(key);
        report(key, "is missing", "add " + key + " = \"...\"");
        return {};
    }
    std::string value = text(key, {});
    if (value.empty()) {
        report(key, "is empty", "give it a value");
    }
    return value;
}

std::string Reader::text(const std::string &key, const std::string &fallback)
{
    const toml::node *node = m_document->findAndMarkRead(key);
    if (node == nullptr) {
        return fallback;
    }
    if (!node->is_string()) {
        report(key, "is not a string", "put the value in double quotes");
        return fallback;
    }
    return node->as_string()->get();
}

std::vector<std::string> Reader::requiredTexts(const std::string &key)
{
    const toml::node *node = m_document->findAndMarkRead(key);
    const toml::array *array = node != nullptr ? node->as_array() : nullptr;
    if (array == nullptr || array->empty() || !array->is_homogeneous(toml::node_type::string)) {
        report(key, "is not a list of strings", "write " + key + " = [\"...\"]");
        return {};
    }
    std::vector<std::string> texts;
    for (const toml::node &element : *array) {
        texts.push_back(element.as_string()->get());
    }
    return texts;
}

std::int64_t Reader::integer(const std::string &key, std::int64_t fallback, std::int64_t minimum, std::int64_t maximum)
{
    const toml::node *node = m_document->findAndMarkRead(key);
    if (node == nullptr) {
        return fallback;
    }
    if (!node->is_integer()) {
        report(key, "is not a whole number", "write a whole number without quotes");
        return fallback;
    }
    const std::int64_t value = node->as_integer()->get();
    if (value < minimum || value > maximum) {
        report(key, "is out of range", "choose a value from " + std::to_string(minimum) + " to " + std::to_string(maximum));
        return fallback;
    }
    return value;
}

double Reader::number(const std::string &key, double fallback, double minimum, double maximum)
{
    const toml::node *node = m_document->findAndMarkRead(key);
    if (node == nullptr) {
        return fallback;
    }
    const std::optional<double> value = node->value<double>();
    if (!node->is_number() || !value) {
        report(key, "is not a number", "write a number without quotes");
        return fallback;
    }
    if (*value < minimum || *value > maximum) {
        report(key, "is out of range", "choose a value from " + std::to_string(minimum) + " to " + std::to_string(maximum));
        return fallback;
    }
    return *value;
}

bool Reader::boolean(const std::string &key, bool fallback)
{
    const toml::node *node = m_document->findAndMarkRead(key);
    if (node == nullptr) {
        return fallback;
    }
    if (!node->is_boolean()) {
        report(key, "is not true or false", "write true or false without quotes");
        return fallback;
    }
    return node->as_boolean()->get();
}

fleet::Duration Reader::duration(const std::string &key, fleet::Duration fallback, fleet::Duration minimum, fleet::Duration maximum)
{
    const std::string written = text(key, {});
    if (written.empty()) {
        return fallback;
    }
    const std::optional<fleet::Duration> value = parseDuration(written);
    if (!value) {
        report(key, "\"" + written + "\" has no known unit", "write a number and a unit, as in \"250 ms\", \"10 s\", \"5 min\" or \"1 h\"");
        return fallback;
    }
    if (*value < minimum || *value > maximum) {
        const std::string range = std::to_string(minimum.count()) + " ms to " + std::to_string(maximum.count()) + " ms";
        report(key, "is out of range", "choose a value from " + range);
        return fallback;
    }
    return *value;
}

Endpoint Reader::requiredEndpoint(const std::string &key)
{
    const std::string written = requiredText(key);
    return written.empty() ? Endpoint() : readEndpoint(key, written);
}

Endpoint Reader::endpoint(const std::string &key, const Endpoint &fallback)
{
    const std::string written = text(key, {});
    return written.empty() ? fallback : readEndpoint(key, written);
}

Endpoint Reader::readEndpoint(const std::string &key, const std::string &written)
{
    const std::optional<Endpoint> endpoint = parseEndpoint(written);
    if (!endpoint) {
        report(key, "\"" + written + "\" is not an address", "write an IP address and a port, as in \"127.0.0.1:7400\"");
        return {};
    }
    return *endpoint;
}

logging::Level Reader::level(const std::string &key, logging::Level fallback)
{
    const std::string written = text(key, {});
    if (written.empty()) {
        return fallback;
    }
    const std::optional<logging::Level> level = parseLevel(written);
    if (!level) {
        report(key, "\"" + written + "\" is not a level", "choose debug, info, warning or error");
    }
    return level.value_or(fallback);
}

void Reader::report(const std::string &key, const std::string &message, const std::string &remedy)
{
    m_document->m_problems.push_back({m_document->m_file, lineOf(m_document->find(key)), key, message, remedy});
}

void Reader::finish()
{
    m_document->reportUnread({}, m_document->m_root);
    if (!m_document->m_problems.empty()) {
        throw SettingsError(m_document->m_problems);
    }
}

}
