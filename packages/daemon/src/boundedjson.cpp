#include "boundedjson.h"

namespace monsoonward
{

namespace
{

constexpr std::size_t maxDepth = 64;

/// @return whether @p text is nested at most maxDepth levels deep; brackets inside strings are ignored
bool isWithinMaxDepth(std::string_view text)
{
    std::size_t depth = 0;
    bool inString = false;
    for (std::size_t n = 0; n < text.size(); ++n) {
        const char c = text[n];
        if (inString) {
            n += c == '\\' ? 1 : 0;
            inString = c != '"';
        } else if (c == '"') {
            inString = true;
        } else if (c == '[' || c == '{') {
            if (++depth > maxDepth) {
                return false;
            }
        } else if ((c == ']' || c == '}') && depth > 0) {
            --depth;
        }
    }
    return true;
}

} // namespace

Result<nlohmann::json> parseBoundedJson(std::string_view text)
{
    if (!isWithinMaxDepth(text)) {
        return Error {ErrorCode::Invalid, "JSON nested deeper than " + std::to_string(maxDepth)};
    }
    auto json = nlohmann::json::parse(text, nullptr, false);
    if (json.is_discarded()) {
        return Error {ErrorCode::Invalid, "not JSON"};
    }
    return json;
}

} // namespace monsoonward
