#include "apps/foxtailcross-load/command_line.hpp"

#include "components/experiment/setting_override.hpp"

#include <boost/program_options.hpp>

#include <cmath>
#include <iostream>
#include <stdexcept>

namespace load
{

namespace
{

namespace options = boost::program_options;

constexpr double millisecondsPerDay = 86'400'000.0;
constexpr double maxDays = 60.0;

options::options_description describeOptions()
{
    using options::value;
    options::options_description description("foxtailcross-load experiment: runs the scheduler's decisions in virtual time over seeded load and faults.\n"
                                             "Exit code: 0 done, 1 a promise was broken or a target missed, 2 wrong use.\n"
                                             "Options");
    auto add = description.add_options();
    add("help", "print this help");
    add("version", "print the version");
    add("command", value<std::string>()->default_value(""), "experiment");
    add("size", value<std::string>()->default_value("swaralaya"), "swaralaya, kurume or two-year");
    add("policy", value<std::string>()->default_value("guaranteed"), "guaranteed or first-fit-fifo");
    add("compare", "run both policies on the same seeds and judge the targets");
    add("set", value<std::vector<std::string>>(), "name=number: change a scheduler setting; may be repeated");
    add("seeds", value<std::uint64_t>()->default_value(5), "number of seeds");
    add("first-seed", value<std::uint64_t>()->default_value(1), "first seed");
    add("days", value<double>()->default_value(1.0), "days during which jobs arrive");
    add("drain-days", value<double>()->default_value(1.0), "days at most that the run goes on after that, until all jobs have ended");
    add("faults", value<std::string>()->default_value("on"), "on or off");
    add("fault-scale", value<double>()->default_value(1.0), "factor on the rate of every fault");
    add("load", value<double>(), "accelerator time asked for as a share of capacity; the size's own by default");
    add("threads", value<unsigned>()->default_value(4), "seeds run at once");
    add("output", value<std::string>()->default_value("table"), "table or json");
    add("plot", value<std::string>()->default_value(""), "write the distribution of completion times to this SVG file");
    return description;
}

bool parseChoice(const std::string &option, const std::string &value, const std::string &whenTrue, const std::string &whenFalse)
{
    if (value != whenTrue && value != whenFalse) {
        throw std::invalid_argument("--" + option + " is '" + value + "'; choose " + whenTrue + " or " + whenFalse);
    }
    return value == whenTrue;
}

void checkRange(const std::string &option, double value, double minimum, double maximum)
{
    if (!(value >= minimum && value <= maximum)) {
        throw std::invalid_argument("--" + option + " is out of range; choose from " + std::to_string(minimum) + " to " + std::to_string(maximum));
    }
}

ExperimentCommand toCommand(const options::variables_map &values)
{
    ExperimentCommand command;
    command.m_options.m_site = experiment::findSite(values["size"].as<std::string>());
    const bool isGuaranteed = parseChoice("policy", values["policy"].as<std::string>(), "guaranteed", "first-fit-fifo");
    command.m_options.m_scheduler.m_policy = isGuaranteed ? scheduler::Policy::Guaranteed : scheduler::Policy::FirstFitFifo;
    if (values.count("set") > 0) {
        for (const std::string &assignment : values["set"].as<std::vector<std::string>>()) {
            experiment::overrideSetting(command.m_options.m_scheduler, assignment);
        }
    }
    const double days = values["days"].as<double>();
    checkRange("days", days, 0.001, maxDays);
    command.m_options.m_horizon = fleet::Duration(std::llround(days * millisecondsPerDay));
    const double drainDays = values["drain-days"].as<double>();
    checkRange("drain-days", drainDays, 0.0, maxDays);
    command.m_options.m_drain = fleet::Duration(std::llround(drainDays * millisecondsPerDay));
    const double scale = values["fault-scale"].as<double>();
    checkRange("fault-scale", scale, 0.0, 1'000.0);
    command.m_options.m_faultScale = parseChoice("faults", values["faults"].as<std::string>(), "on", "off") ? scale : 0.0;
    if (values.count("load") > 0) {
        command.m_options.m_site.m_offeredLoad = values["load"].as<double>();
        checkRange("load", command.m_options.m_site.m_offeredLoad, 0.01, 10.0);
    }
    command.m_seeds = {values["first-seed"].as<std::uint64_t>(), values["seeds"].as<std::uint64_t>(), values["threads"].as<unsigned>()};
    checkRange("seeds", static_cast<double>(command.m_seeds.m_count), 1.0, 1'000'000.0);
    checkRange("threads", command.m_seeds.m_threads, 1.0, 256.0);
    command.m_compare = values.count("compare") > 0;
    command.m_asJson = parseChoice("output", values["output"].as<std::string>(), "json", "table");
    command.m_plotFile = values["plot"].as<std::string>();
    return command;
}

}

std::optional<ExperimentCommand> parseCommandLine(int argc, const char *const *argv)
{
    const options::options_description description = describeOptions();
    options::positional_options_description positional;
    positional.add("command", 1);
    options::variables_map values;
    options::store(options::command_line_parser(argc, argv).options(description).positional(positional).run(), values);
    options::notify(values);
    if (values.count("version") > 0) {
        std::cout << "foxtailcross-load " FOXTAILCROSS_VERSION "\n";
        return std::nullopt;
    }
    if (values.count("help") > 0) {
        std::cout << description;
        return std::nullopt;
    }
    if (values["command"].as<std::string>() != "experiment") {
        throw std::invalid_argument("no command given; use 'foxtailcross-load experiment', or --help");
    }
    return toCommand(values);
}

}
