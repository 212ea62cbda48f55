#include "mix.h"

#include <functional>
#include <limits>
#include <map>

namespace load
{

namespace
{

using monsoonward::IniEntry;
using monsoonward::parseDuration;
using monsoonward::parseNumber;

constexpr const char *sectionPrefix = "class ";

using Setter = std::function<void(const std::string &, RequestClass &)>;

unsigned readNumber(const std::string &text)
{
    return static_cast<unsigned>(parseNumber(text, std::numeric_limits<unsigned>::max()).value());
}

const std::map<std::string, Setter> &setters()
{
    static const std::map<std::string, Setter> table {
        {"key", [](const std::string &text, RequestClass &it) { it.key = text; }},
        {"model", [](const std::string &text, RequestClass &it) { it.model = text; }},
        {"path", [](const std::string &text, RequestClass &it) { it.path = text; }},
        {"tier", [](const std::string &text, RequestClass &it) { it.tier = text; }},
        {"threads", [](const std::string &text, RequestClass &it) { it.threads = readNumber(text); }},
        {"requests", [](const std::string &text, RequestClass &it) { it.requests = readNumber(text); }},
        {"prompt-characters",
         [](const std::string &text, RequestClass &it) { it.promptCharacters = readNumber(text); }},
        {"output-tokens", [](const std::string &text, RequestClass &it) { it.outputTokens = readNumber(text); }},
        {"deadline", [](const std::string &text, RequestClass &it) { it.deadline = parseDuration(text).value(); }},
        {"idempotency-keys", [](const std::string &text, RequestClass &it) { it.idempotencyKeys = text == "yes"; }},
    };
    return table;
}

void readEntry(const std::string &file, const IniEntry &entry, RequestClass &requestClass, Mix &mix)
{
    const auto it = setters().find(entry.key);
    if (it == setters().end()) {
        mix.errors.push_back({file, entry.line, entry.key, "unknown key"});
        return;
    }
    try {
        it->second(entry.value, requestClass);
    } catch (const std::exception &) {
        mix.errors.push_back({file, entry.line, entry.key, "\"" + entry.value + "\" is not allowed"});
    }
}

} // namespace

Mix loadMix(const std::string &file)
{
    Mix mix;
    const auto ini = monsoonward::loadIni(file);
    mix.errors = ini.errors;
    for (const auto &section : ini.sections) {
        if (section.name.empty() && section.entries.empty()) {
            continue;
        }
        if (section.name.rfind(sectionPrefix, 0) != 0) {
            mix.errors.push_back({file, section.line, section.name, "unknown section; allowed: class NAME"});
            continue;
        }
        RequestClass it;
        it.name = section.name.substr(std::string(sectionPrefix).size());
        for (const auto &entry : section.entries) {
            readEntry(file, entry, it, mix);
        }
        mix.classes.push_back(it);
    }
    return mix;
}

} // namespace load
