#ifndef APPS_FOXTAILCROSS_LOAD_COMMAND_LINE_HPP
#define APPS_FOXTAILCROSS_LOAD_COMMAND_LINE_HPP

#include "components/experiment/run_options.hpp"
#include "components/experiment/seeds.hpp"

#include <optional>
#include <string>

namespace load
{

/// What `foxtailcross-load experiment` was asked to do.
struct ExperimentCommand
{
    experiment::RunOptions m_options;
    experiment::SeedRange m_seeds;
    /// Run the baseline and the present policy on the same seeds and judge the targets.
    bool m_compare = false;
    bool m_asJson = false;
    /// Empty where no plot is wanted.
    std::string m_plotFile;
};

/// Reads the command line. Prints help or version and returns nothing where they were asked for.
/// Throws boost::program_options::error or std::invalid_argument, naming the remedy.
std::optional<ExperimentCommand> parseCommandLine(int argc, const char *const *argv);

}

#endif
