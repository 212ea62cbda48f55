#include "promptprefix.h"

#include <xxhash.h>

#include <memory>

namespace monsoonward
{

namespace
{

constexpr std::size_t blockBytes = 1024;
constexpr std::size_t maxBlocks = 64;

struct StateDeleter
{
    void operator()(XXH64_state_t *state) const
    {
        XXH64_freeState(state);
    }
};
using HashState = std::unique_ptr<XXH64_state_t, StateDeleter>;

HashState makeState()
{
    HashState state(XXH64_createState());
    XXH64_reset(state.get(), 0);
    return state;
}

void update(HashState &state, std::string_view text)
{
    XXH64_update(state.get(), text.data(), text.size());
}

} // namespace

std::string promptText(const nlohmann::json &body)
{
    const auto prompt = body.find("prompt");
    if (prompt != body.end()) {
        return prompt->is_string() ? prompt->get<std::string>() : prompt->dump();
    }
    std::string text;
    const auto messages = body.find("messages");
    if (messages == body.end() || !messages->is_array()) {
        return text;
    }
    for (const auto &it : *messages) {
        text += it.dump() + "\n";
    }
    return text;
}

std::vector<PrefixHash> prefixHashes(const ServiceName &service, std::string_view prompt)
{
    auto state = makeState();
    update(state, service.text());
    std::vector<PrefixHash> hashes;
    for (std::size_t n = blockBytes; n <= prompt.size() && hashes.size() < maxBlocks; n += blockBytes) {
        update(state, prompt.substr(n - blockBytes, blockBytes));
        hashes.push_back(XXH64_digest(state.get()));
    }
    return hashes;
}

Fingerprint requestFingerprint(const CustomerName &customer, const ServiceName &service, std::string_view body)
{
    auto state = makeState();
    update(state, customer.text());
    update(state, "\n");
    update(state, service.text());
    update(state, "\n");
    update(state, body);
    return XXH64_digest(state.get());
}

} // namespace monsoonward
