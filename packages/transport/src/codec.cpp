#include "monsoonward/transport/codec.h"

#include "fieldcodec.h"

#include <array>

namespace monsoonward
{

namespace
{

using fieldcodec::Json;

constexpr std::size_t maxDepth = 12; // of nested arrays; a configuration needs 7

/// SAX handler that only checks the nesting depth. It runs before the recursive DOM parser, so that deeply nested input
/// can't overflow the stack.
class DepthCheck : public nlohmann::json_sax<Json>
{
public:
    bool null() override
    {
        return true;
    }
    bool boolean(bool /*value*/) override
    {
        return true;
    }
    bool number_integer(number_integer_t /*value*/) override // NOLINT(readability-identifier-naming)
    {
        return true;
    }
    bool number_unsigned(number_unsigned_t /*value*/) override // NOLINT(readability-identifier-naming)
    {
        return true;
    }
    bool number_float(number_float_t /*value*/,
                      const string_t & /*text*/) override // NOLINT(readability-identifier-naming)
    {
        return true;
    }
    bool string(string_t & /*value*/) override
    {
        return true;
    }
    bool binary(binary_t & /*value*/) override
    {
        return true;
    }
    bool start_object(std::size_t /*size*/) override // NOLINT(readability-identifier-naming)
    {
        return false;
    }
    bool key(string_t & /*value*/) override
    {
        return false;
    }
    bool end_object() override // NOLINT(readability-identifier-naming)
    {
        return false;
    }
    bool start_array(std::size_t /*size*/) override // NOLINT(readability-identifier-naming)
    {
        return ++m_depth <= maxDepth;
    }
    bool end_array() override // NOLINT(readability-identifier-naming)
    {
        --m_depth;
        return true;
    }
    bool parse_error(std::size_t /*position*/, // NOLINT(readability-identifier-naming)
                     const std::string & /*token*/,
                     const nlohmann::detail::exception & /*error*/) override
    {
        return false;
    }

private:
    std::size_t m_depth = 0;
};

template<std::size_t Kind = 0>
Message decodeKind(std::size_t kind, const Json &fields)
{
    if constexpr (Kind < std::variant_size_v<Message>) {
        if (kind != Kind) {
            return decodeKind<Kind + 1>(kind, fields);
        }
        std::variant_alternative_t<Kind, Message> message;
        fieldcodec::fromJson(fields, message);
        return message;
    } else {
        throw std::invalid_argument("unknown message type");
    }
}

Error malformed(const std::string &why)
{
    return {ErrorCode::Invalid, "malformed message: " + why};
}

std::string toBytes(const Json &json)
{
    std::string bytes;
    Json::to_msgpack(json, nlohmann::detail::output_adapter<char>(bytes));
    return bytes;
}

/// Parses an array whose first element is the version.
/// @param elements expected length of the array
/// @throws std::exception when malformed
Json parseEnvelope(std::string_view bytes, std::size_t elements)
{
    fieldcodec::require(bytes.size() <= maxMessageBytes, "larger than the maximum message size");
    DepthCheck check;
    fieldcodec::require(Json::sax_parse(bytes, &check, Json::input_format_t::msgpack),
                        "invalid MessagePack or nested too deeply");
    auto json = Json::from_msgpack(bytes);
    fieldcodec::require(json.is_array() && json.size() == elements, "the outer array has the wrong length");
    unsigned version = 0;
    fieldcodec::integerFromJson(json[0], version);
    fieldcodec::require(version == wireVersion, "unsupported version of the encoding");
    return json;
}

template<class T>
std::string encodeVersioned(const T &value)
{
    return toBytes(Json::array({wireVersion, fieldcodec::toJson(value)}));
}

template<class T>
Result<T> decodeVersioned(std::string_view bytes)
{
    try {
        const auto json = parseEnvelope(bytes, 2);
        T value;
        fieldcodec::fromJson(json[1], value);
        return value;
    } catch (const std::exception &error) {
        return malformed(error.what());
    }
}

} // namespace

std::string encode(const Message &message)
{
    return std::visit(
        [&message](const auto &it) {
            return toBytes(Json::array({wireVersion, message.index(), fieldcodec::toJson(it)}));
        },
        message);
}

Result<Message> decode(std::string_view bytes)
{
    try {
        const auto json = parseEnvelope(bytes, 3);
        std::size_t kind = 0;
        fieldcodec::integerFromJson(json[1], kind);
        return decodeKind(kind, json[2]);
    } catch (const std::exception &error) {
        return malformed(error.what());
    }
}

std::string encodeConfiguration(const Configuration &configuration)
{
    return encodeVersioned(configuration);
}

Result<Configuration> decodeConfiguration(std::string_view bytes)
{
    return decodeVersioned<Configuration>(bytes);
}

std::string encodeConfigurations(const std::vector<Configuration> &configurations)
{
    return encodeVersioned(configurations);
}

Result<std::vector<Configuration>> decodeConfigurations(std::string_view bytes)
{
    return decodeVersioned<std::vector<Configuration>>(bytes);
}

} // namespace monsoonward
