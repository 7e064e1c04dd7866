#ifndef COMPONENTS_CLI_EXIT_CODE_HPP
#define COMPONENTS_CLI_EXIT_CODE_HPP

namespace cli
{

/// Exit codes of foxtailcross, listed in docs/interface.md.
enum class ExitCode {
    Ok = 0,
    /// The instance refused the call; nothing ran.
    Refused = 1,
    /// The command line is wrong.
    Usage = 2,
    /// The settings are invalid.
    Settings = 3,
    /// No instance could be reached; nothing was sent.
    Unreachable = 4,
    /// The call was sent and its outcome is unknown; the user should repeat it with the same id.
    OutcomeUnknown = 5,
};

}

#endif
