#include "components/cli/api_client.hpp"
#include "components/cli/command.hpp"
#include "components/cli/command_error.hpp"
#include "components/cli/options.hpp"
#include "components/cli/session.hpp"
#include "components/http/client.hpp"
#include "components/settings/cli_settings.hpp"
#include "components/settings/reader.hpp"
#include "components/settings/settings_error.hpp"

#include <boost/uuid/random_generator.hpp>
#include <boost/uuid/uuid_io.hpp>

#include <exception>
#include <future>
#include <iostream>

namespace
{

settings::CliSettings readSettings(const cli::Options &options)
{
    if (options.m_settingsFile.empty()) {
        throw cli::CommandError(cli::ExitCode::Usage, "--settings is missing; name the settings file");
    }
    settings::Reader reader = settings::Reader::fromFile(options.m_settingsFile);
    return settings::readCliSettings(reader);
}

cli::ApiClient makeClient(http::Client &client, const settings::CliSettings &settings)
{
    std::vector<http::Address> instances;
    for (const settings::Endpoint &endpoint : settings.m_instances) {
        instances.push_back({endpoint.m_address, endpoint.m_port});
    }
    auto exchange = [&client, timeout = settings.m_timeout](const http::Address &target, const http::Request &request) {
        std::promise<http::Result> promise;
        client.send(target, request, timeout, [&promise](http::Result result) {
            promise.set_value(std::move(result));
        });
        return promise.get_future().get();
    };
    return {instances, settings.m_operatorToken, exchange};
}

void run(const cli::Options &options)
{
    const settings::CliSettings settings = readSettings(options);
    if (options.m_checkSettings) {
        std::cout << options.m_settingsFile << " is correct\n";
        return;
    }
    http::Client client;
    const cli::ApiClient apiClient = makeClient(client, settings);
    const auto makeId = [] {
        return boost::uuids::to_string(boost::uuids::random_generator()());
    };
    const fleet::TimePoint now = std::chrono::floor<fleet::Duration>(std::chrono::system_clock::now());
    cli::runCommand({apiClient, settings.m_operator, options.m_format, std::cout, now, makeId}, options.m_words);
}

void answer(const cli::Options &options)
{
    if (options.m_help) {
        std::cout << cli::helpText();
    } else if (options.m_version) {
        std::cout << "foxtailcross " << FOXTAILCROSS_VERSION << '\n';
    } else {
        run(options);
    }
}

int fail(cli::ExitCode code, const char *message)
{
    std::cerr << "foxtailcross: " << message << '\n';
    return static_cast<int>(code);
}

}

int main(int argc, char **argv)
{
    try {
        answer(cli::parseOptions({argv + 1, argv + argc}));
    } catch (const cli::CommandError &error) {
        return fail(error.code(), error.what());
    } catch (const settings::SettingsError &error) {
        return fail(cli::ExitCode::Settings, error.what());
    } catch (const std::exception &error) {
        return fail(cli::ExitCode::Refused, error.what());
    }
    return static_cast<int>(cli::ExitCode::Ok);
}
