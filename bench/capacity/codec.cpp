#include "measure.h"

#include <monsoonward/transport/transport.h>
#include <samplemessages.h>

namespace monsoonward::capacity
{

namespace
{

/// @brief Messages of one kind that differ in the number of some element.
struct MessageFamily
{
    std::string name;
    std::string per;
    std::vector<std::size_t> sizes;
    std::function<Message(std::size_t)> make;
};

Message findSample(const std::string &kind)
{
    for (const auto &it : sampleMessages()) {
        if (it.kind == kind) {
            return it.message;
        }
    }
    return Withdraw {};
}

std::vector<MessageFamily> messageFamilies()
{
    const auto reserve = std::get<Reserve>(findSample("Reserve"));
    const auto status = std::get<TargetStatus>(findSample("TargetStatus"));
    const auto handOver = std::get<HandOver>(findSample("HandOver"));
    const auto chunk = std::get<AnswerChunk>(findSample("AnswerChunk"));
    const auto usage = std::get<UsageReport>(findSample("UsageReport")).customers.front();
    return {
        {"Reserve",
         "prefix",
         {0, 8, 32, 128},
         [=](std::size_t n) {
             auto message = reserve;
             message.prefixes.assign(n, reserve.prefixes.front());
             return Message(message);
         }},
        {"TargetStatus",
         "cache event",
         {0, 8, 32, 128},
         [=](std::size_t n) {
             auto message = status;
             message.cachedPrefixes.assign(n / 2, status.cachedPrefixes.front());
             message.evictedPrefixes.assign(n - n / 2, status.cachedPrefixes.front());
             return Message(message);
         }},
        {"HandOver",
         "body byte",
         {100, 1000, 10000, 100000},
         [=](std::size_t n) {
             auto message = handOver;
             message.body.assign(n, 'x');
             return Message(message);
         }},
        {"AnswerChunk",
         "body byte",
         {4, 64, 1024, 16384},
         [=](std::size_t n) {
             auto message = chunk;
             message.bytes.assign(n, 'x');
             return Message(message);
         }},
        {"UsageReport",
         "customer",
         {10, 100, 1000, 10000},
         [=](std::size_t n) { return Message(UsageReport {std::vector<CustomerUsage>(n, usage)}); }},
    };
}

void measureFamily(const MessageFamily &family)
{
    Slope bytes {family.name + " bytes", family.per, "bytes", {}};
    Slope encoding {family.name + " encode", family.per, "us", {}};
    Slope decoding {family.name + " decode", family.per, "us", {}};
    for (const auto n : family.sizes) {
        const auto message = family.make(n);
        const auto encoded = encode(message);
        const auto size = static_cast<double>(n);
        bytes.points.emplace_back(size, static_cast<double>(encoded.size()));
        encoding.points.emplace_back(size, measureMicroseconds([&] { encode(message); }));
        decoding.points.emplace_back(size, measureMicroseconds([&] { decode(encoded).value(); }));
    }
    print(bytes);
    print(encoding);
    print(decoding);
}

} // namespace

void measureCodec()
{
    for (const auto &it : sampleMessages()) {
        const auto encoded = encode(it.message);
        print({it.kind + " sample bytes", "message", "bytes", {{1, static_cast<double>(encoded.size())}}});
        const auto roundTrip = measureMicroseconds([&] { decode(encode(it.message)).value(); });
        print({it.kind + " sample encode and decode", "message", "us", {{1, roundTrip}}});
    }
    for (const auto &it : messageFamilies()) {
        measureFamily(it);
    }
}

} // namespace monsoonward::capacity
