#ifndef APPS_FOXTAILCROSS_NODE_CHECK_COMMAND_HPP
#define APPS_FOXTAILCROSS_NODE_CHECK_COMMAND_HPP

#include <iosfwd>
#include <string>
#include <vector>

namespace node_app
{

/// Runs `foxtailcross-node check` with the arguments that follow the word `check`, and returns the exit code.
int runCheck(const std::vector<std::string> &arguments, std::ostream &out, std::ostream &errors);

}

#endif
