#include "workload.h"

#include <boost/property_tree/ini_parser.hpp>

#include <algorithm>
#include <functional>
#include <map>

namespace monsoonward::bench
{

namespace
{

using Tree = boost::property_tree::ptree;

Error invalid(const std::string &message)
{
    return {ErrorCode::Invalid, message};
}

std::string concatenate(std::initializer_list<std::string> parts)
{
    std::string text;
    for (const auto &it : parts) {
        text += it;
    }
    return text;
}

/// @brief Reads the keys of one section into variables. A key not registered with key() is an error.
class SectionReader
{
public:
    template<class T>
    SectionReader &key(const std::string &name, T &field)
    {
        m_fields[name] = [&field](const Tree &value) {
            const auto parsed = value.get_value_optional<T>();
            if (parsed) {
                field = *parsed;
            }
            return parsed.has_value();
        };
        return *this;
    }

    Result<void> read(const std::string &section, const Tree &tree) const
    {
        const std::string location = "in section [" + section + "]";
        for (const auto &[name, value] : tree) {
            const auto field = m_fields.find(name);
            if (field == m_fields.end()) {
                return invalid(concatenate({"unknown key \"", name, "\" ", location}));
            }
            if (!field->second(value)) {
                return invalid(
                    concatenate({"malformed value \"", value.data(), "\" of key \"", name, "\" ", location}));
            }
        }
        return boost::outcome_v2::success();
    }

private:
    std::map<std::string, std::function<bool(const Tree &)>> m_fields;
};

Result<void> readRun(const Tree &tree, Workload &run)
{
    return SectionReader()
        .key("duration_ms", run.duration)
        .key("entries", run.entries)
        .key("report_lag_ms", run.reportLag)
        .key("link_one_way_ms", run.linkOneWay)
        .key("link_bits_per_s", run.linkBitsPerSecond)
        .read("run", tree);
}

Result<void> readEngines(const std::string &section, const std::string &name, const Tree &tree, Workload &workload)
{
    EngineGroup it;
    it.name = name;
    BOOST_OUTCOME_TRY(SectionReader()
                          .key("count", it.count)
                          .key("region", it.region)
                          .key("max_batch", it.maxBatch)
                          .key("prefill_tokens_per_s", it.prefillTokensPerSecond)
                          .key("decode_tokens_per_s", it.decodeTokensPerSecond)
                          .key("batch_slowdown", it.batchSlowdown)
                          .key("cache_tokens", it.cacheTokens)
                          .read(section, tree));
    workload.engines.push_back(it);
    return boost::outcome_v2::success();
}

Result<void> readTier(const std::string &section, const std::string &name, const Tree &tree, Workload &workload)
{
    if (name.empty() || name.size() > 3 || name.find_first_not_of("0123456789") != std::string::npos) {
        return invalid("section [" + section + "]: the tier must be a number");
    }
    TierTraffic it;
    it.tier = static_cast<unsigned>(std::stoul(name));
    BOOST_OUTCOME_TRY(SectionReader()
                          .key("rate_per_s", it.ratePerSecond)
                          .key("deadline_ms", it.deadline)
                          .key("prompt_tokens_min", it.promptMin)
                          .key("prompt_tokens_max", it.promptMax)
                          .key("output_tokens_min", it.outputMin)
                          .key("output_tokens_max", it.outputMax)
                          .key("customers", it.customers)
                          .key("largest_customer_share", it.largestCustomerShare)
                          .key("prefixes", it.prefixes)
                          .key("prefix_tokens", it.prefixTokens)
                          .key("prefix_share", it.prefixShare)
                          .key("region", it.region)
                          .read(section, tree));
    workload.tiers.push_back(it);
    return boost::outcome_v2::success();
}

Result<void> readFault(const std::string &kind, const std::string &section, const Tree &tree, Workload &workload)
{
    SectionReader reader;
    if (kind == "burst") {
        auto &it = workload.bursts.emplace_back();
        reader.key("at_ms", it.at).key("for_ms", it.length).key("tier", it.tier).key("factor", it.factor);
    } else if (kind == "straggler") {
        auto &it = workload.stragglers.emplace_back();
        reader.key("at_ms", it.at).key("for_ms", it.length).key("engines", it.engines);
        reader.key("count", it.count).key("slowdown", it.slowdown);
    } else if (kind == "crash") {
        auto &it = workload.crashes.emplace_back();
        reader.key("at_ms", it.at).key("engines", it.engines).key("count", it.count).key("restart_ms", it.restart);
    } else if (kind == "entry_crash") {
        auto &it = workload.entryCrashes.emplace_back();
        reader.key("at_ms", it.at).key("count", it.count).key("restart_ms", it.restart);
    } else if (kind == "cut") {
        auto &it = workload.cuts.emplace_back();
        reader.key("at_ms", it.at).key("for_ms", it.length);
    } else {
        return invalid("unknown section [" + section + "]");
    }
    return reader.read(section, tree);
}

Result<void> readSection(const std::string &section, const Tree &tree, Workload &workload)
{
    if (section == "run") {
        return readRun(tree, workload);
    }
    const auto dot = section.find('.');
    const auto kind = section.substr(0, dot);
    const auto name = dot == std::string::npos ? std::string() : section.substr(dot + 1);
    if (name.empty()) {
        return invalid("unknown section [" + section + "]");
    }
    if (kind == "engines") {
        return readEngines(section, name, tree, workload);
    }
    if (kind == "tier") {
        return readTier(section, name, tree, workload);
    }
    return readFault(kind, section, tree, workload);
}

Result<void> checkEngineNames(const Workload &workload)
{
    const auto known = [&workload](const std::string &name) {
        return std::any_of(
            workload.engines.begin(), workload.engines.end(), [&name](const auto &it) { return it.name == name; });
    };
    for (const auto &it : workload.stragglers) {
        if (!known(it.engines)) {
            return invalid("a straggler section refers to the unknown engine group \"" + it.engines + "\"");
        }
    }
    for (const auto &it : workload.crashes) {
        if (!known(it.engines)) {
            return invalid("a crash section refers to the unknown engine group \"" + it.engines + "\"");
        }
    }
    return boost::outcome_v2::success();
}

Result<void> checkNumbers(const Workload &workload)
{
    for (const auto &it : workload.engines) {
        const bool ratesPositive = it.prefillTokensPerSecond > 0 && it.decodeTokensPerSecond > 0;
        if (it.maxBatch == 0 || !ratesPositive || it.batchSlowdown < 0) {
            return invalid("[engines." + it.name + "]: max_batch and rates must be above 0, batch_slowdown 0 or more");
        }
    }
    for (const auto &it : workload.tiers) {
        const bool lengthsValid =
            it.promptMin >= 1 && it.promptMax >= it.promptMin && it.outputMin >= 1 && it.outputMax >= it.outputMin;
        if (!lengthsValid || it.ratePerSecond < 0 || it.deadline <= 0 || it.customers == 0) {
            return invalid("[tier." + std::to_string(it.tier)
                           + "]: lengths must be 1 or more with min <= max, deadline_ms and customers above 0");
        }
    }
    if (workload.engines.empty() || workload.tiers.empty() || workload.entries == 0 || workload.duration <= 0) {
        return invalid("a workload needs engines, tiers, entries and a duration");
    }
    return boost::outcome_v2::success();
}

} // namespace

Result<Workload> readWorkload(const std::string &path)
{
    Tree tree;
    try {
        boost::property_tree::read_ini(path, tree);
    } catch (const boost::property_tree::ini_parser_error &ec) {
        return invalid(ec.what());
    }
    Workload workload;
    for (const auto &[section, content] : tree) {
        if (content.empty() && !content.data().empty()) {
            return invalid(concatenate({path, ": key \"", section, "\" is in no section"}));
        }
        BOOST_OUTCOME_TRY(readSection(section, content, workload));
    }
    BOOST_OUTCOME_TRY(checkNumbers(workload));
    BOOST_OUTCOME_TRY(checkEngineNames(workload));
    std::sort(
        workload.tiers.begin(), workload.tiers.end(), [](const auto &a, const auto &b) { return a.tier < b.tier; });
    return workload;
}

Duration fromMillis(Millis n)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(n));
}

} // namespace monsoonward::bench
