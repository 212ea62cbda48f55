#include "validation.h"

#include <algorithm>
#include <set>

namespace monsoonward
{

namespace
{

class Validator
{
public:
    explicit Validator(const Configuration &configuration)
        : m_configuration(configuration)
    {
    }

    std::vector<ConfigurationFault> run()
    {
        for (const auto &it : m_configuration.dataCentres) {
            checkReference(m_configuration.regions, it.region, {"data-centre", it.name.text(), "region"}, "region");
        }
        for (const auto &it : m_configuration.hosts) {
            checkReference(
                m_configuration.dataCentres, it.dataCentre, {"host", it.name.text(), "data-centre"}, "data centre");
        }
        for (const auto &it : m_configuration.targets) {
            checkReference(m_configuration.hosts, it.host, {"target", it.name.text(), "host"}, "host");
            checkReference(m_configuration.services, it.service, {"target", it.name.text(), "service"}, "service");
        }
        for (const auto &it : m_configuration.engines) {
            checkReference(m_configuration.targets, it.target, {"engine", it.name.text(), "target"}, "target");
        }
        checkCustomers();
        checkOperators();
        return std::move(m_faults);
    }

private:
    struct Location
    {
        std::string kind;
        std::string name;
        std::string key;
    };

    void addFault(const Location &location, const std::string &message)
    {
        m_faults.push_back({location.kind, location.name, location.key, message});
    }

    template<class Spec, class Name>
    void
    checkReference(const std::vector<Spec> &list, const Name &name, const Location &location, const std::string &what)
    {
        if (!name.empty() && find(list, name) == nullptr) {
            addFault(location, what + " \"" + name.text() + "\" is not declared");
        }
    }

    bool hasTier(Tier tier) const
    {
        const auto &tiers = m_configuration.tiers;
        return std::any_of(tiers.begin(), tiers.end(), [tier](const TierSpec &it) { return it.tier == tier; });
    }

    void checkCustomers()
    {
        std::set<std::string> keys;
        for (const auto &customer : m_configuration.customers) {
            for (const auto &it : customer.tiers) {
                if (!hasTier(it)) {
                    addFault({"customer", customer.name.text(), "tiers"},
                             "tier " + std::to_string(it.level()) + " is not declared");
                }
            }
            for (const auto &it : customer.keyHashes) {
                if (!keys.insert(it).second) {
                    addFault({"customer", customer.name.text(), "key-hashes"}, "another customer has the key " + it);
                }
            }
            if (customer.weight <= 0) {
                addFault({"customer", customer.name.text(), "weight"}, "the weight must be above 0");
            }
        }
    }

    void checkOperators()
    {
        std::set<std::string> tokens;
        for (const auto &it : m_configuration.operators) {
            if (!tokens.insert(it.tokenHash).second) {
                addFault({"operator", it.name, "token-hash"}, "another operator has the token " + it.tokenHash);
            }
        }
    }

    const Configuration &m_configuration;
    std::vector<ConfigurationFault> m_faults;
};

} // namespace

std::vector<ConfigurationFault> validate(const Configuration &configuration)
{
    return Validator(configuration).run();
}

} // namespace monsoonward
