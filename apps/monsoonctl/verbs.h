#pragma once

#include <cstddef>
#include <string>
#include <vector>

/// The verbs of the command line and their help texts.
namespace monsoonctl
{

/// @brief Exit codes of monsoonctl.
enum class ExitCode : int {
    Done = 0,
    /// Refused, in conflict or failed in another way; nothing took effect. With --wait also: the plan was accepted, but
    /// failed, was aborted or is not done in time.
    NotAccepted = 1,
    Usage = 2, ///< the command line or the declarations are wrong
    Unavailable = 3, ///< the daemon or the store does not answer; nothing took effect
    Unknown = 4, ///< it may have taken effect; prints the command that finds out
    Denied = 5, ///< the token is missing, wrong or lacks the right
};

enum class VerbKind { Declare, Diff, Export, Plan, Confirm, Abort, Status, Log, Dump, Explain, Intent };

struct Verb
{
    VerbKind kind = VerbKind::Intent;
    std::string name;
    std::vector<std::string> arguments; ///< names of the arguments, for the help text
    std::string help;
    std::string example;
};

const std::vector<Verb> &verbs();
/// @return the verb of that name, or null
const Verb *findVerb(const std::string &name);
/// @return the general help: one line for each verb, and the exit codes
std::string overview();
/// @return the help on one verb: usage, description and an example
std::string helpOf(const Verb &verb);

} // namespace monsoonctl
