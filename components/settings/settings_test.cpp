#include "components/settings/daemon_settings.hpp"
#include "components/settings/parse.hpp"
#include "components/settings/reader.hpp"
#include "components/settings/settings_error.hpp"

#include <criterion/criterion.h>

namespace
{

using namespace std::chrono_literals;

/// A complete settings file to which each test appends lines.
struct SettingsFixture
{
    std::string m_head = "instance = \"kochi-1\"\nzone = \"kochi\"\nregion = \"kerala\"\n"
                         "[listen]\nhttp = \"127.0.0.1:7400\"\npeers = \"127.0.0.1:7401\"\n"
                         "[platform]\nlog = \"127.0.0.1:7300\"\nlist = \"127.0.0.1:7301\"\n"
                         "[security]\noperator_token = \"0123456789abcdef\"\nrequest_id_key = \"0123456789abcdef\"\npeer_keys = [\"0123456789abcdef\"]\n";

    settings::DaemonSettings read(const std::string &tail) const
    {
        settings::Reader reader = settings::Reader::fromText(m_head + tail, "daemon.toml");
        return settings::readDaemonSettings(reader);
    }

    /// Returns the problem of a file that has exactly one.
    settings::Problem onlyProblem(const std::string &tail) const
    {
        try {
            read(tail);
        } catch (const settings::SettingsError &error) {
            cr_assert_eq(error.problems().size(), 1, "%s", error.what());
            return error.problems().front();
        }
        cr_assert_fail("the file was accepted");
    }
};

}

Test(daemonSettings, completeFile_read_hasItsValues)
{
    const auto settings = SettingsFixture().read("[control]\nlease_length = \"20 s\"\n");
    cr_assert(settings.m_instance == fleet::InstanceId("kochi-1"));
    cr_assert(settings.m_leaseLength == 20s);
    cr_assert_eq(settings.m_httpEndpoint.m_port, 7400);
}

Test(daemonSettings, unknownKey_read_namesFileLineKeyAndRemedy)
{
    const auto problem = SettingsFixture().onlyProblem("[control]\nlease_lenght = \"20 s\"\n");
    cr_assert(problem == (settings::Problem {"daemon.toml", 15, "control.lease_lenght", "unknown key", "remove it or correct its spelling"}));
}

Test(daemonSettings, wrongUnit_read_isRefused)
{
    const auto problem = SettingsFixture().onlyProblem("[control]\nlease_length = \"20 fortnights\"\n");
    cr_assert_eq(problem.m_line, 15);
    cr_assert(problem.m_key == "control.lease_length");
}

Test(daemonSettings, outOfRange_read_isRefused)
{
    const auto problem = SettingsFixture().onlyProblem("[traffic]\nthreads = 0\n");
    cr_assert(problem.m_message == "is out of range");
}

Test(daemonSettings, peerOnOwnPort_read_isPortClash)
{
    const auto problem = SettingsFixture().onlyProblem("[[peer]]\ninstance = \"kochi-2\"\nzone = \"kochi\"\naddress = \"127.0.0.1:7401\"\n");
    cr_assert(problem.m_key == "peer.0.address");
    cr_assert_eq(problem.m_line, 17);
}

Test(daemonSettings, renewalSlowerThanHalfALease_read_isRefused)
{
    const auto problem = SettingsFixture().onlyProblem("[control]\nlease_length = \"5 s\"\n");
    cr_assert(problem.m_key == "control.renew_interval");
}

Test(daemonSettings, missingKey_read_namesIt)
{
    settings::Reader reader = settings::Reader::fromText("zone = \"kochi\"\n", "daemon.toml");
    try {
        settings::readDaemonSettings(reader);
        cr_assert_fail("the file was accepted");
    } catch (const settings::SettingsError &error) {
        cr_assert(error.problems().front().m_key == "instance");
    }
}

Test(parseEndpoint, hostName_parse_isRefused)
{
    cr_assert_not(settings::parseEndpoint("localhost:80").has_value());
    cr_assert(settings::parseEndpoint("[::1]:80").has_value());
    cr_assert_not(settings::parseEndpoint("127.0.0.1:65536").has_value());
}

Test(duration, fraction_parse_isRoundedToMilliseconds)
{
    cr_assert(settings::parseDuration("6.0 s") == 6s);
    cr_assert(settings::parseDuration("1.5 s") == 1500ms);
    cr_assert(!settings::parseDuration("-1 s"));
    cr_assert(!settings::parseDuration("1e3 ms"));
}
