#include "requesttraits.h"

#include "headervalues.h"

namespace monsoonward
{

namespace
{

// Seeds that tell the kinds of traits apart.
constexpr std::uint64_t wholeRequestSeed = 1;
constexpr std::uint64_t promptPartSeed = 2;

} // namespace

std::vector<RequestTrait>
traitsOf(const CallerRequest &request, std::string_view promptParts, std::string_view customer)
{
    auto whole = hashOf(viewOf(request.method_string()), wholeRequestSeed);
    for (const auto text : {viewOf(request.target()), customer, std::string_view(request.body())}) {
        whole = hashOf(text, whole);
    }
    std::vector<RequestTrait> traits {whole};
    for (auto end = promptParts.find(','); end != std::string_view::npos; end = promptParts.find(',')) {
        const auto part = promptParts.substr(0, end);
        traits.push_back(hashOf(part.substr(0, part.find(':')), promptPartSeed));
        promptParts.remove_prefix(end + 1);
    }
    return traits;
}

} // namespace monsoonward
