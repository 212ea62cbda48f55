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

/// Receives the events of the cxxtools parser and adds them to the IniFile with the current line number.
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

    /// Removes the entry that was added from the current line.
    void discardLine()
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

/// Parses one line with a new parser, so that a syntax error doesn't affect the following lines.
/// @return whether the line is valid
bool parseLine(Collector &collector, const std::string &line)
{
    collector.failed = false;
    try {
        const auto text = cxxtools::Utf8Codec::decode(line);
        // The decoder of cxxtools accepts some invalid UTF-8. Encoding its result again detects that.
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
        result.errors.push_back({file, 0, "", "the file is larger than " + std::to_string(maxIniBytes) + " bytes"});
        return result;
    }
    Collector collector(result);
    std::istringstream in(text);
    std::string line;
    while (std::getline(in, line)) {
        if (!parseLine(collector, line)) {
            collector.discardLine();
            result.errors.push_back(
                {file, collector.line, "", "expected a section, a \"key = value\" line or a comment, in UTF-8"});
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
        result.errors.push_back({file, 0, "", "can't open the file: " + std::string(std::strerror(errno))});
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
