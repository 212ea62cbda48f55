#include "monsoonward/ini/ini.h"

#include <cxxtools/iniparser.h>
#include <cxxtools/utf8codec.h>

#include <cstring>
#include <fstream>
#include <sstream>

namespace monsoonward
{

namespace
{

/// Collects what the library's parser reports, with the line that is being read.
class Collector : public cxxtools::IniParser::Event
{
public:
    explicit Collector(IniFile &file)
        : m_file(file)
    {
        m_file.sections.push_back({});
    }

    using Event::onKey;
    using Event::onSection;
    using Event::onValue;

    bool onSection(const std::string &section) override
    {
        m_file.sections.push_back({section, line, {}});
        return false;
    }

    bool onKey(const std::string &key) override
    {
        m_file.sections.back().entries.push_back({key, "", line});
        return false;
    }

    bool onValue(const std::string &value) override
    {
        m_file.sections.back().entries.back().value = value;
        return false;
    }

    bool onError() override
    {
        failed = true;
        return true;
    }

    /// Takes back what the current line gave.
    void dropLine()
    {
        auto &entries = m_file.sections.back().entries;
        if (!entries.empty() && entries.back().line == line) {
            entries.pop_back();
        }
    }

    unsigned line = 1;
    bool failed = false;

private:
    IniFile &m_file;
};

/// Parses one line with a parser of its own, so that a bad line doesn't hide what follows it.
/// @return whether the line is well formed
bool feed(Collector &collector, const std::string &line)
{
    collector.failed = false;
    try {
        const auto text = cxxtools::Utf8Codec::decode(line);
        // The library's decoder is lenient: what it read must be what stands there.
        if (cxxtools::Utf8Codec::encode(text) != line) {
            collector.failed = true;
            return false;
        }
        cxxtools::IniParser parser(collector);
        for (const auto &it : text) {
            if (parser.parse(it)) {
                break;
            }
        }
        if (!collector.failed) {
            parser.parse(cxxtools::Char('\n'));
            parser.end();
        }
    } catch (const std::exception &) {
        collector.failed = true;
    }
    return !collector.failed;
}

} // namespace

IniFile parseIni(const std::string &file, const std::string &text)
{
    IniFile result;
    if (text.size() > maxIniBytes) {
        result.errors.push_back({file, 0, "", "larger than " + std::to_string(maxIniBytes) + " bytes"});
        return result;
    }
    Collector collector(result);
    std::istringstream in(text);
    std::string line;
    while (std::getline(in, line)) {
        if (!feed(collector, line)) {
            collector.dropLine();
            result.errors.push_back(
                {file, collector.line, "", "not a section, a \"key = value\" line or a comment in UTF-8"});
        }
        ++collector.line;
    }
    return result;
}

IniFile loadIni(const std::string &file)
{
    std::ifstream in(file, std::ios::binary);
    if (!in) {
        IniFile result;
        result.errors.push_back({file, 0, "", "can't be read: " + std::string(std::strerror(errno))});
        return result;
    }
    std::ostringstream text;
    text << in.rdbuf();
    return parseIni(file, text.str());
}

std::string textOf(const IniError &error)
{
    std::string text = error.file;
    if (error.line != 0) {
        text += ":" + std::to_string(error.line);
    }
    if (!error.key.empty()) {
        text += ": " + error.key;
    }
    return text + ": " + error.message;
}

} // namespace monsoonward
