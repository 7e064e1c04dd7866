#ifndef APPS_FOXTAILCROSS_LOAD_COMMAND_LINE_HPP
#define APPS_FOXTAILCROSS_LOAD_COMMAND_LINE_HPP

#include "components/experiment/run_options.hpp"
#include "components/experiment/seeds.hpp"

#include <optional>
#include <string>

namespace load
{

/// Options of `foxtailcross-load experiment`.
struct ExperimentCommand
{
    experiment::RunOptions m_options;
    experiment::SeedRange m_seeds;
    /// Run the baseline and the current policy on the same seeds and check the acceptance criteria.
    bool m_compare = false;
    bool m_asJson = false;
    /// SVG file for the plot; empty for no plot.
    std::string m_plotFile;
};

/// Parses the command line. If help or version was requested, prints it and returns nothing.
/// Throws boost::program_options::error or std::invalid_argument, naming the remedy.
std::optional<ExperimentCommand> parseCommandLine(int argc, const char *const *argv);

}

#endif
