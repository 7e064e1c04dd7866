#include "apps/foxtailcross-load/command_line.hpp"
#include "components/experiment/comparison.hpp"
#include "components/experiment/json_report.hpp"
#include "components/experiment/svg_plot.hpp"
#include "components/experiment/table.hpp"

#include <boost/program_options/errors.hpp>

#include <fstream>
#include <iostream>
#include <stdexcept>

namespace
{

enum ExitCode {
    Done = 0,
    CheckFailed = 1,
    WrongUse = 2,
};

experiment::Summary runPolicy(const load::ExperimentCommand &command, scheduler::Policy policy, const char *name)
{
    experiment::RunOptions options = command.m_options;
    options.m_scheduler.m_policy = policy;
    return experiment::runSeeds(options, command.m_seeds, [&](std::uint64_t done) {
        std::cerr << "experiment: " << name << ", " << done << " of " << command.m_seeds.m_count << " seeds done\n";
    });
}

void writePlot(const std::string &file, const std::vector<experiment::Summary> &summaries)
{
    if (file.empty()) {
        return;
    }
    std::ofstream out(file);
    out << experiment::completionPlot(summaries);
    out.flush();
    if (!out) {
        throw std::runtime_error("cannot write the plot to '" + file + "'; name a file in a folder that can be written");
    }
}

template<class Result>
void print(const load::ExperimentCommand &command, const Result &result)
{
    if (command.m_asJson) {
        std::cout << experiment::toJson(result) << '\n';
    } else {
        experiment::writeTable(std::cout, result);
    }
}

ExitCode runComparison(const load::ExperimentCommand &command)
{
    const experiment::Comparison comparison
        = experiment::compare(runPolicy(command, scheduler::Policy::FirstFitFifo, "baseline"), runPolicy(command, scheduler::Policy::Guaranteed, "present"));
    print(command, comparison);
    writePlot(command.m_plotFile, {comparison.m_baseline, comparison.m_present});
    return experiment::passes(comparison) ? Done : CheckFailed;
}

ExitCode runOnePolicy(const load::ExperimentCommand &command)
{
    const experiment::Summary summary = runPolicy(command, command.m_options.m_scheduler.m_policy, "run");
    print(command, summary);
    writePlot(command.m_plotFile, {summary});
    return experiment::violationCount(summary) == 0 ? Done : CheckFailed;
}

}

int main(int argc, char **argv)
{
    try {
        const std::optional<load::ExperimentCommand> command = load::parseCommandLine(argc, argv);
        if (!command) {
            return Done;
        }
        return command->m_compare ? runComparison(*command) : runOnePolicy(*command);
    } catch (const boost::program_options::error &error) {
        std::cerr << "foxtailcross-load: " << error.what() << "; see --help\n";
    } catch (const std::exception &error) {
        std::cerr << "foxtailcross-load: " << error.what() << '\n';
    }
    return WrongUse;
}
