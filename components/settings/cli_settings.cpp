#include "components/settings/cli_settings.hpp"

#include "components/settings/parse.hpp"
#include "components/settings/reader.hpp"

namespace settings
{

CliSettings readCliSettings(Reader &reader)
{
    using namespace std::chrono_literals;
    CliSettings settings;
    for (const std::string &written : reader.requiredTexts("instances")) {
        const std::optional<Endpoint> endpoint = parseEndpoint(written);
        if (!endpoint) {
            reader.report("instances", "\"" + written + "\" is not an address", "write an IP address and a port, as in \"127.0.0.1:7400\"");
            continue;
        }
        settings.m_instances.push_back(*endpoint);
    }
    settings.m_operator = reader.text("operator.name", {});
    settings.m_operatorToken = reader.text("operator.token", {});
    settings.m_timeout = reader.duration("timeout", settings.m_timeout, 100ms, 10min);
    reader.finish();
    return settings;
}

}
