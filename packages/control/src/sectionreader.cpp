#include "sectionreader.h"

#include <boost/algorithm/string/join.hpp>

#include <algorithm>
#include <charconv>
#include <cmath>

namespace monsoonward
{

namespace
{

constexpr unsigned maxTier = 31;
constexpr std::size_t sha256Digits = 64;

} // namespace

SectionReader::SectionReader(const DeclarationSection &section, std::vector<IniError> &errors)
    : m_section(section)
    , m_errors(errors)
{
}

const IniEntry *SectionReader::findEntry(const std::string &key)
{
    m_allowedKeys.insert(key);
    const IniEntry *found = nullptr;
    for (const auto &it : m_section.ini.entries) {
        if (it.key != key) {
            continue;
        }
        if (found != nullptr) {
            addErrorAt(it.line, key, "the key stands twice in the section");
        }
        found = &it;
    }
    return found;
}

bool SectionReader::has(const std::string &key) const
{
    const auto &entries = m_section.ini.entries;
    return std::any_of(entries.begin(), entries.end(), [&key](const IniEntry &it) { return it.key == key; });
}

void SectionReader::addErrorAt(unsigned line, const std::string &key, const std::string &message)
{
    const auto place = m_section.kind + " " + m_section.name + (key.empty() ? "" : "." + key);
    m_errors.push_back({m_section.file, line, place, message});
}

void SectionReader::addError(const std::string &key, const std::string &message)
{
    auto line = m_section.ini.line;
    for (const auto &it : m_section.ini.entries) {
        line = it.key == key ? it.line : line;
    }
    addErrorAt(line, key, message);
}

void SectionReader::reportUnknownKeys()
{
    for (const auto &it : m_section.ini.entries) {
        if (m_allowedKeys.count(it.key) == 0) {
            addErrorAt(it.line, it.key, "unknown key; allowed: " + boost::algorithm::join(m_allowedKeys, ", "));
        }
    }
}

std::string SectionReader::text(const std::string &key, const std::optional<std::string> &fallback)
{
    const auto *entry = findEntry(key);
    if (entry != nullptr) {
        return entry->value;
    }
    if (!fallback) {
        addError(key, "the key is missing");
    }
    return fallback.value_or("");
}

Address SectionReader::address(const std::string &key, bool required)
{
    const auto *entry = findEntry(key);
    if (entry == nullptr) {
        if (required) {
            addError(key, "the key is missing");
        }
        return {};
    }
    const auto parsed = parseAddress(entry->value);
    if (!parsed) {
        addError(key, parsed.error().message);
        return {};
    }
    return parsed.value();
}

Duration SectionReader::duration(const std::string &key, Duration fallback)
{
    const auto *entry = findEntry(key);
    if (entry == nullptr) {
        return fallback;
    }
    const auto parsed = parseDuration(entry->value);
    if (!parsed) {
        addError(key, parsed.error().message);
        return fallback;
    }
    return parsed.value();
}

std::uint64_t SectionReader::integer(const std::string &key, std::uint64_t fallback, std::uint64_t maximum)
{
    const auto *entry = findEntry(key);
    if (entry == nullptr) {
        return fallback;
    }
    const auto parsed = parseNumber(entry->value, maximum);
    if (!parsed) {
        addError(key, parsed.error().message);
        return fallback;
    }
    return parsed.value();
}

double SectionReader::number(const std::string &key, double fallback)
{
    const auto *entry = findEntry(key);
    if (entry == nullptr) {
        return fallback;
    }
    double n = 0;
    const auto *const end = entry->value.data() + entry->value.size();
    const auto result = std::from_chars(entry->value.data(), end, n);
    if (result.ec != std::errc() || result.ptr != end || !std::isfinite(n) || n < 0) {
        addError(key, "\"" + entry->value + "\" is not a number from 0 up");
        return fallback;
    }
    return n;
}

bool SectionReader::boolean(const std::string &key, bool fallback)
{
    return choice(key, {"no", "yes"}, fallback ? 1 : 0) == 1;
}

std::vector<std::string> SectionReader::list(const std::string &key)
{
    const auto *entry = findEntry(key);
    return entry == nullptr ? std::vector<std::string> {} : splitList(entry->value);
}

std::size_t SectionReader::choice(const std::string &key, const std::vector<std::string> &words, std::size_t fallback)
{
    const auto *entry = findEntry(key);
    if (entry == nullptr) {
        return fallback;
    }
    const auto it = std::find(words.begin(), words.end(), entry->value);
    if (it == words.end()) {
        addError(key, "\"" + entry->value + "\" is not one of: " + boost::algorithm::join(words, ", "));
        return fallback;
    }
    return static_cast<std::size_t>(it - words.begin());
}

std::optional<Tier> SectionReader::tier(const std::string &text, const std::string &key)
{
    const auto level = parseNumber(text, maxTier);
    if (!level) {
        addError(key, "tier " + level.error().message);
        return std::nullopt;
    }
    return Tier(static_cast<unsigned>(level.value()));
}

bool isSha256(const std::string &text)
{
    return text.size() == sha256Digits && text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

} // namespace monsoonward
