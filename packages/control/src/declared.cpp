#include "declared.h"

namespace monsoonward
{

namespace
{

template<class Spec, class Name>
void keepStates(std::vector<Spec> &list, const std::vector<Spec> &base, const std::set<Name> &withState)
{
    for (auto &it : list) {
        const auto *old = find(base, it.name);
        if (old != nullptr && withState.count(it.name) == 0) {
            it.state = old->state;
        }
    }
}

} // namespace

DeclarationResult parseDeclareRequest(const nlohmann::json &body, const Configuration &base)
{
    std::vector<DeclarationFile> files;
    for (const auto &it : body.at("files")) {
        files.push_back({it.at("name").get<std::string>(), it.at("text").get<std::string>()});
    }
    auto result = parseDeclarations(files);
    keepStates(result.configuration.hosts, base.hosts, result.hostsWithState);
    keepStates(result.configuration.targets, base.targets, result.targetsWithState);
    result.configuration.revision = base.revision;
    return result;
}

} // namespace monsoonward
