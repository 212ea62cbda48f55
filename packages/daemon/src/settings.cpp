#include "monsoonward/daemon/settings.h"

#include "settingskeys.h"

#include <algorithm>
#include <set>

namespace monsoonward
{

namespace
{

using SeenKeys = std::set<std::pair<std::string, std::string>>;

const SettingsKey *findKey(const std::string &section, const std::string &key)
{
    const auto &keys = settingsKeys();
    const auto it = std::find_if(keys.begin(), keys.end(), [&](const SettingsKey &candidate) {
        return candidate.section == section && candidate.key == key;
    });
    return it == keys.end() ? nullptr : &*it;
}

bool isSection(const std::string &name)
{
    const auto &keys = settingsKeys();
    return std::any_of(keys.begin(), keys.end(), [&](const SettingsKey &it) { return it.section == name; });
}

void readEntry(
    const std::string &file, const std::string &section, const IniEntry &entry, SeenKeys &seen, SettingsResult &result)
{
    const auto name = section + "." + entry.key;
    const auto *key = findKey(section, entry.key);
    if (key == nullptr) {
        result.errors.push_back({file, entry.line, name, "unknown key"});
        return;
    }
    if (!seen.insert({section, entry.key}).second) {
        result.errors.push_back({file, entry.line, name, "given twice"});
        return;
    }
    const auto read = key->read(entry.value, result.settings);
    if (!read) {
        result.errors.push_back({file, entry.line, name, read.error().message + "; allowed: " + key->allowed});
    }
}

void readSection(const std::string &file, const IniSection &section, SeenKeys &seen, SettingsResult &result)
{
    if (!section.name.empty() && !isSection(section.name)) {
        result.errors.push_back({file, section.line, "", "unknown section \"" + section.name + "\""});
        return;
    }
    for (const auto &it : section.entries) {
        readEntry(file, section.name, it, seen, result);
    }
}

bool isRequired(const SettingsKey &key, HostRole role)
{
    return key.requirement == Requirement::Always || (key.requirement == Requirement::Entry && role == HostRole::Entry);
}

void applyDefaults(const std::string &file, const SeenKeys &seen, SettingsResult &result)
{
    for (const auto &it : settingsKeys()) {
        if (seen.count({it.section, it.key}) != 0) {
            continue;
        }
        if (isRequired(it, result.settings.role)) {
            result.errors.push_back({file, 0, it.section + "." + it.key, "missing; allowed: " + it.allowed});
        } else if (it.requirement == Requirement::Optional) {
            it.read(it.defaultText, result.settings).assume_value();
        }
    }
}

void checkConsistency(const std::string &file, SettingsResult &result)
{
    const auto &settings = result.settings;
    if (result.errors.empty() && settings.heartbeatTimeout <= settings.heartbeatInterval) {
        result.errors.push_back({file, 0, "peer.heartbeat-timeout", "must be longer than peer.heartbeat-interval"});
    }
}

SettingsResult fromIni(const std::string &file, const IniFile &ini)
{
    SettingsResult result;
    result.errors = ini.errors;
    SeenKeys seen;
    for (const auto &it : ini.sections) {
        readSection(file, it, seen, result);
    }
    if (ini.errors.empty()) {
        applyDefaults(file, seen, result);
        checkConsistency(file, result);
    }
    return result;
}

std::string requirementText(Requirement requirement)
{
    switch (requirement) {
    case Requirement::Always:
        return "needed";
    case Requirement::Entry:
        return "needed by entries";
    case Requirement::Optional:
        break;
    }
    return "";
}

} // namespace

SettingsResult parseSettings(const std::string &file, const std::string &text)
{
    return fromIni(file, parseIni(file, text));
}

SettingsResult loadSettings(const std::string &file)
{
    return fromIni(file, loadIni(file));
}

std::string settingsPage()
{
    std::string page =
        "# Settings\n\n"
        "A daemon reads one INI file. `monsoonwardd --check-settings FILE` tests a file without starting;\n"
        "an unknown key, a missing one or a value out of range stops the start, with all errors at once.\n"
        "This page is made by `monsoonwardd --settings-page`; a test holds it against the program.\n";
    std::string section;
    for (const auto &it : settingsKeys()) {
        if (it.section != section) {
            section = it.section;
            page += "\n## [" + section + "]\n\n| key | default | unit | allowed | meaning |\n|---|---|---|---|---|\n";
        }
        const auto defaultColumn =
            it.requirement == Requirement::Optional ? "`" + it.defaultText + "`" : requirementText(it.requirement);
        page += "| `" + it.key + "` | " + (defaultColumn == "``" ? "empty" : defaultColumn) + " | " + it.unit + " | "
            + it.allowed + " | " + it.meaning + " |\n";
    }
    return page;
}

} // namespace monsoonward
