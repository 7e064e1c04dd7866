#include "components/platform/enum_names.hpp"

#include "components/platform/decode_error.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace platform
{

using scheduler::CommandKind;
using scheduler::TaskPhase;

namespace
{

constexpr std::array<std::pair<CommandKind, const char *>, 8> commandNames {{
    {CommandKind::Reserve, "reserve"},
    {CommandKind::Start, "start"},
    {CommandKind::Renew, "renew"},
    {CommandKind::Checkpoint, "checkpoint"},
    {CommandKind::Throttle, "throttle"},
    {CommandKind::Unthrottle, "unthrottle"},
    {CommandKind::Stop, "stop"},
    {CommandKind::Forget, "forget"},
}};

constexpr std::array<std::pair<TaskPhase, const char *>, 7> phaseNames {{
    {TaskPhase::Reserved, "reserved"},
    {TaskPhase::Refused, "refused"},
    {TaskPhase::Running, "running"},
    {TaskPhase::Succeeded, "succeeded"},
    {TaskPhase::Failed, "failed"},
    {TaskPhase::Stopped, "stopped"},
    {TaskPhase::LeaseExpired, "lapsed"},
}};

template<class Table, class Value>
std::string findName(const Table &table, Value value)
{
    const auto found = std::find_if(table.begin(), table.end(), [value](const auto &entry) {
        return entry.first == value;
    });
    return found->second;
}

template<class Table>
auto findValue(const Table &table, const std::string &name)
{
    const auto found = std::find_if(table.begin(), table.end(), [&name](const auto &entry) {
        return entry.second == name;
    });
    if (found == table.end()) {
        throw DecodeError("'" + name + "' is not a documented name; send one of the documented names");
    }
    return found->first;
}

}

std::string commandName(CommandKind kind)
{
    return findName(commandNames, kind);
}

CommandKind parseCommandName(const std::string &name)
{
    return findValue(commandNames, name);
}

std::string phaseName(TaskPhase phase)
{
    return findName(phaseNames, phase);
}

TaskPhase parsePhaseName(const std::string &name)
{
    return findValue(phaseNames, name);
}

}
