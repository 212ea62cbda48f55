#pragma once

#include <cstddef>
#include <string>
#include <vector>

/// What monsoonctl can be asked for.
namespace monsoonctl
{

/// @brief Exit codes of the program.
enum class ExitCode : int {
    Done = 0,
    NotAccepted = 1, ///< refused, in conflict, or failed otherwise; nothing took effect
    Usage = 2, ///< the command line or the declarations are wrong
    Unavailable = 3, ///< the daemon or the store does not answer; nothing took effect
    Unknown = 4, ///< it may have taken effect; the command that finds out is printed
    Denied = 5,
};

enum class VerbKind { Declare, Diff, Export, Plan, Confirm, Abort, Status, Log, Dump, Explain, Intent };

struct Verb
{
    VerbKind kind = VerbKind::Intent;
    std::string name;
    std::vector<std::string> arguments; ///< their names, for the help
    std::string help;
    std::string example;
};

const std::vector<Verb> &verbs();
/// @return the verb, or null
const Verb *findVerb(const std::string &name);
/// @return one line for each verb and the exit codes
std::string overview();
/// @return usage, help and example of one verb
std::string helpOf(const Verb &verb);

} // namespace monsoonctl
