#include "verbs.h"

#include <iomanip>
#include <sstream>

namespace monsoonctl
{

namespace
{

constexpr int usageWidth = 34;

std::string usage(const Verb &verb)
{
    auto text = verb.name;
    for (const auto &it : verb.arguments) {
        text += " " + it;
    }
    return text;
}

} // namespace

const std::vector<Verb> &verbs()
{
    static const std::vector<Verb> list {
        {VerbKind::Declare,
         "declare",
         {"DIR"},
         "plan the changes that make the configuration in force match the *.ini files of DIR",
         "monsoonctl declare fleet/ --yes"},
        {VerbKind::Diff,
         "diff",
         {"DIR"},
         "show what declaring DIR would change, without making a plan",
         "monsoonctl diff fleet/"},
        {VerbKind::Export,
         "export",
         {},
         "print the configuration in force as declarations",
         "monsoonctl export > fleet.ini"},
        {VerbKind::Intent,
         "drain-host",
         {"HOST"},
         "plan to give a host no new work and wait for its requests",
         "monsoonctl drain-host lannion-3"},
        {VerbKind::Intent,
         "return-host",
         {"HOST"},
         "plan to give a host new work again",
         "monsoonctl return-host lannion-3"},
        {VerbKind::Intent,
         "remove-host",
         {"HOST"},
         "plan to drain a host, then remove it with its targets and engines",
         "monsoonctl remove-host lannion-3"},
        {VerbKind::Intent,
         "drain-target",
         {"TARGET"},
         "plan to give a target no new work and wait for its requests",
         "monsoonctl drain-target atelier-7"},
        {VerbKind::Intent,
         "return-target",
         {"TARGET"},
         "plan to give a target new work again",
         "monsoonctl return-target atelier-7"},
        {VerbKind::Intent,
         "move-target",
         {"TARGET", "SERVICE"},
         "plan to drain a target and let it serve another service",
         "monsoonctl move-target atelier-7 guichet"},
        {VerbKind::Intent,
         "set-version",
         {"SERVICE", "VERSION"},
         "plan to update a service to a version, target by target",
         "monsoonctl set-version atelier-model 4"},
        {VerbKind::Intent,
         "set-limit",
         {"CUSTOMER", "KEY=NUMBER"},
         "plan to change a customer's limit",
         "monsoonctl set-limit rouleaux tokens-per-second=900"},
        {VerbKind::Intent,
         "add-key",
         {"CUSTOMER", "SHA256"},
         "plan to accept an additional key of a customer",
         "monsoonctl add-key rouleaux $(printf %s \"$KEY\" | sha256sum | cut -d' ' -f1)"},
        {VerbKind::Intent,
         "remove-key",
         {"CUSTOMER", "SHA256"},
         "plan to stop accepting a key of a customer",
         "monsoonctl remove-key rouleaux 9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"},
        {VerbKind::Confirm, "confirm", {"ID"}, "make a plan take effect", "monsoonctl confirm p0123456789ab --wait"},
        {VerbKind::Abort, "abort", {"ID"}, "stop a plan between two steps", "monsoonctl abort p0123456789ab"},
        {VerbKind::Plan, "plan", {"ID"}, "show a plan and its progress", "monsoonctl plan p0123456789ab"},
        {VerbKind::Status,
         "status",
         {},
         "show the revision in force on each daemon, and the plans in progress",
         "monsoonctl status --format json"},
        {VerbKind::Log, "log", {}, "show who confirmed what, and when", "monsoonctl log --after 120"},
        {VerbKind::Dump,
         "dump",
         {"ADDRESS"},
         "print the state of the daemon at an admin address",
         "monsoonctl dump 127.0.0.1:9001"},
        {VerbKind::Explain,
         "explain",
         {"REQUEST-ID", "[FILE...]"},
         "explain a request's outcome from gateways' logs in files or on standard input",
         "monsoonctl explain 7fb87330f035c2fe gateway-*.log"},
    };
    return list;
}

const Verb *findVerb(const std::string &name)
{
    for (const auto &it : verbs()) {
        if (it.name == name) {
            return &it;
        }
    }
    return nullptr;
}

std::string overview()
{
    std::ostringstream out;
    out << "Usage: monsoonctl [OPTIONS] VERB [ARGUMENTS]\n\nVerbs (monsoonctl VERB --help gives an example):\n";
    for (const auto &it : verbs()) {
        out << "  " << std::left << std::setw(usageWidth) << usage(it) << it.help << "\n";
    }
    out << "\nExit codes: 0 done, 1 not accepted, 2 wrong command line or declarations, 3 no answer and nothing took\n"
           "effect, 4 unknown whether it took effect, 5 denied.\n";
    return out.str();
}

std::string helpOf(const Verb &verb)
{
    return "Usage: monsoonctl [OPTIONS] " + usage(verb) + "\n  " + verb.help + "\nExample:\n  " + verb.example + "\n";
}

} // namespace monsoonctl
