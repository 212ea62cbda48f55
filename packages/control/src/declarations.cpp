#include "monsoonward/control/declarations.h"

#include "change.h"
#include "sectionreader.h"
#include "validation.h"

#include <boost/algorithm/string/trim.hpp>

#include <algorithm>
#include <limits>
#include <map>

namespace monsoonward
{

namespace
{

constexpr std::uint64_t maxUint32 = std::numeric_limits<std::uint32_t>::max();
constexpr Duration fallbackDeadline = std::chrono::seconds(30);

/// @return whether @p text has 1 to 64 characters, all of them letters, digits, '-', '_' or '.'
bool isName(const std::string &text)
{
    constexpr std::size_t maxNameLength = 64;
    const auto *const allowed = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.";
    return !text.empty() && text.size() <= maxNameLength && text.find_first_not_of(allowed) == std::string::npos;
}

class DeclarationParser
{
public:
    DeclarationResult parse(const std::vector<DeclarationFile> &files)
    {
        for (const auto &it : files) {
            splitSections(it.name, parseIni(it.name, it.text));
        }
        for (const auto &it : m_sections) {
            readSection(it);
        }
        sortLists(m_result.configuration);
        for (const auto &it : validate(m_result.configuration)) {
            addFault(it);
        }
        auto &errors = m_result.errors;
        std::sort(errors.begin(), errors.end());
        errors.erase(std::unique(errors.begin(), errors.end()), errors.end());
        return std::move(m_result);
    }

private:
    using ReadSection = void (DeclarationParser::*)(SectionReader &reader, const std::string &name);

    static const std::map<std::string, ReadSection> &sectionReaders()
    {
        static const std::map<std::string, ReadSection> map {
            {"region", &DeclarationParser::readRegion},
            {"data-centre", &DeclarationParser::readDataCentre},
            {"host", &DeclarationParser::readHost},
            {"tier", &DeclarationParser::readTier},
            {"service", &DeclarationParser::readService},
            {"target", &DeclarationParser::readTarget},
            {"engine", &DeclarationParser::readEngine},
            {"customer", &DeclarationParser::readCustomer},
            {"operator", &DeclarationParser::readOperator},
        };
        return map;
    }

    void splitSections(const std::string &file, const IniFile &ini)
    {
        auto &errors = m_result.errors;
        errors.insert(errors.end(), ini.errors.begin(), ini.errors.end());
        for (const auto &it : ini.sections) {
            const auto heading = boost::algorithm::trim_copy(it.name);
            const auto blank = std::min(heading.find_first_of(" \t"), heading.size());
            const auto name = boost::algorithm::trim_copy(heading.substr(blank));
            m_sections.push_back({heading.substr(0, blank), name, file, it});
        }
    }

    void rejectKeysBeforeFirstSection(const DeclarationSection &section)
    {
        for (const auto &it : section.ini.entries) {
            m_result.errors.push_back({section.file, it.line, it.key, "the key stands before the first section"});
        }
    }

    void readSection(const DeclarationSection &section)
    {
        if (section.kind.empty() && section.ini.line == 0) {
            rejectKeysBeforeFirstSection(section);
            return;
        }
        const auto kind = sectionReaders().find(section.kind);
        if (kind == sectionReaders().end()) {
            addError(section,
                     "unknown section [" + section.kind
                         + "]; allowed: region, data-centre, host, tier, service, target, engine, customer, operator");
            return;
        }
        if (!isName(section.name)) {
            addError(section, "the name must be 1 to 64 letters, digits, '-', '_' or '.': \"" + section.name + "\"");
            return;
        }
        const auto other = m_firstSections.emplace(section.kind + " " + section.name, &section);
        if (!other.second) {
            const auto &first = *other.first->second;
            addError(section,
                     "[" + section.kind + " " + section.name + "] is declared before, at " + first.file + ":"
                         + std::to_string(first.ini.line));
            return;
        }
        SectionReader reader(section, m_result.errors);
        (this->*kind->second)(reader, section.name);
        reader.reportUnknownKeys();
    }

    void readRegion(SectionReader & /*reader*/, const std::string &name)
    {
        m_result.configuration.regions.push_back({RegionName(name)});
    }

    void readDataCentre(SectionReader &reader, const std::string &name)
    {
        m_result.configuration.dataCentres.push_back({DataCentreName(name), RegionName(reader.text("region"))});
    }

    void readHost(SectionReader &reader, const std::string &name)
    {
        HostSpec spec;
        spec.name = HostName(name);
        spec.dataCentre = DataCentreName(reader.text("data-centre"));
        spec.role = reader.choice("role", {"entry", "target"}, 1) == 0 ? HostRole::Entry : HostRole::Target;
        spec.peerAddress = reader.address("peer", true);
        spec.adminAddress = reader.address("admin", false);
        spec.state = readState(reader, m_result.hostsWithState, spec.name);
        m_result.configuration.hosts.push_back(spec);
    }

    template<class Name>
    static ServingState readState(SectionReader &reader, std::set<Name> &withState, const Name &name)
    {
        if (reader.has("state")) {
            withState.insert(name);
        }
        const auto draining = reader.choice("state", {"in-service", "draining"}, 0) == 1;
        return draining ? ServingState::Draining : ServingState::InService;
    }

    void readTier(SectionReader &reader, const std::string &name)
    {
        const auto tier = reader.tier(name, "");
        TierSpec spec;
        spec.name = reader.text("name", name);
        spec.defaultDeadline = reader.duration("default-deadline", fallbackDeadline);
        if (spec.defaultDeadline <= Duration::zero()) {
            reader.addError("default-deadline", "the deadline must be above 0");
        }
        if (tier) {
            spec.tier = *tier;
            m_result.configuration.tiers.push_back(spec);
        }
    }

    void readService(SectionReader &reader, const std::string &name)
    {
        ServiceSpec spec;
        spec.name = ServiceName(name);
        spec.kind = reader.choice("kind", {"model", "plain"}, 0) == 0 ? ServiceKind::Model : ServiceKind::Plain;
        spec.model = ModelName(reader.text("model", ""));
        spec.version = reader.text("version", "");
        for (const auto &it : reader.list("repeatable")) {
            const auto blank = it.find(' ');
            if (blank == std::string::npos || blank + 1 == it.size() || it[blank + 1] != '/') {
                reader.addError("repeatable", "\"" + it + "\" is not a method and the beginning of a path");
                continue;
            }
            spec.repeatableCalls.push_back({it.substr(0, blank), it.substr(blank + 1)});
        }
        if (spec.kind == ServiceKind::Model && spec.model.empty()) {
            reader.addError("model", "a service of kind model needs the key \"model\"");
        }
        m_result.configuration.services.push_back(spec);
    }

    void readTarget(SectionReader &reader, const std::string &name)
    {
        TargetSpec spec;
        spec.name = TargetName(name);
        spec.host = HostName(reader.text("host"));
        spec.service = ServiceName(reader.text("service"));
        spec.state = readState(reader, m_result.targetsWithState, spec.name);
        spec.checksFencing = reader.boolean("checks-fencing", false);
        m_result.configuration.targets.push_back(spec);
    }

    void readEngine(SectionReader &reader, const std::string &name)
    {
        EngineSpec spec;
        spec.name = EngineName(name);
        spec.target = TargetName(reader.text("target"));
        spec.address = reader.address("address", true);
        spec.generation = reader.text("generation", "");
        spec.maxBatch = static_cast<std::uint32_t>(reader.integer("max-batch", 0, maxUint32));
        spec.cacheTokens = reader.integer("cache-tokens", 0, std::numeric_limits<std::int64_t>::max());
        m_result.configuration.engines.push_back(spec);
    }

    void readCustomer(SectionReader &reader, const std::string &name)
    {
        CustomerSpec spec;
        spec.name = CustomerName(name);
        spec.keyHashes = reader.list("key-hashes");
        for (const auto &it : spec.keyHashes) {
            if (!isSha256(it)) {
                reader.addError("key-hashes", "\"" + it + "\" is not a SHA-256 of 64 lower-case hexadecimal digits");
            }
        }
        for (const auto &it : reader.list("tiers")) {
            const auto tier = reader.tier(it, "tiers");
            if (tier) {
                spec.tiers.push_back(*tier);
            }
        }
        std::sort(spec.tiers.begin(), spec.tiers.end());
        spec.weight = reader.number("weight", 1);
        auto &limits = spec.limits;
        limits.requestsInProgress = static_cast<std::uint32_t>(reader.integer("requests-in-progress", 0, maxUint32));
        limits.tokensInProgress = static_cast<std::uint32_t>(reader.integer("tokens-in-progress", 0, maxUint32));
        limits.requestsPerSecond = reader.number("requests-per-second", 0);
        limits.tokensPerSecond = reader.number("tokens-per-second", 0);
        m_result.configuration.customers.push_back(spec);
    }

    void readOperator(SectionReader &reader, const std::string &name)
    {
        OperatorSpec spec;
        spec.name = name;
        spec.tokenHash = reader.text("token-hash");
        if (!isSha256(spec.tokenHash)) {
            reader.addError("token-hash",
                            "\"" + spec.tokenHash + "\" is not a SHA-256 of 64 lower-case hexadecimal digits");
        }
        for (const auto &it : reader.list("rights")) {
            if (it == "read") {
                spec.rights.push_back(OperatorRight::Read);
            } else if (it == "plan") {
                spec.rights.push_back(OperatorRight::Plan);
            } else if (it == "confirm") {
                spec.rights.push_back(OperatorRight::Confirm);
            } else {
                reader.addError("rights", "\"" + it + "\" is not one of: read, plan, confirm");
            }
        }
        m_result.configuration.operators.push_back(spec);
    }

    void addError(const DeclarationSection &section, const std::string &message)
    {
        m_result.errors.push_back({section.file, section.ini.line, "", message});
    }

    /// Adds an error for a fault that validate() found, at the line of the key that caused it.
    void addFault(const ConfigurationFault &fault)
    {
        const auto it = m_firstSections.find(fault.kind + " " + fault.name);
        checkInvariant(it != m_firstSections.end(), "declaration-has-section", fault.kind + " " + fault.name);
        SectionReader(*it->second, m_result.errors).addError(fault.key, fault.message);
    }

    std::vector<DeclarationSection> m_sections;
    std::map<std::string, const DeclarationSection *> m_firstSections; ///< first section of each "KIND NAME"
    DeclarationResult m_result;
};

} // namespace

DeclarationResult parseDeclarations(const std::vector<DeclarationFile> &files)
{
    return DeclarationParser().parse(files);
}

} // namespace monsoonward
