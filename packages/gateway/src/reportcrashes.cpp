#include "reportentries.h"

namespace monsoonward
{

namespace
{

constexpr std::size_t crashNumbers = 4;
constexpr std::size_t soundNumbers = 2;
constexpr std::uint64_t refutedFlag = 1;
constexpr std::uint64_t confirmedFlag = 2;
constexpr std::uint64_t ofRefusedFlag = 4;

NumberList crashNumbersOf(const LoadReport &report)
{
    NumberList numbers;
    for (const auto &it : report.crashes.crashes) {
        const auto flags = (it.isRefuted ? refutedFlag : 0) | (it.isConfirmed ? confirmedFlag : 0)
            | (it.isOfRefused ? ofRefusedFlag : 0);
        numbers.insert(numbers.end(), {it.trait, it.run, millisecondsOf(it.age), flags});
    }
    return numbers;
}

bool readCrashes(const NumberList &numbers, LoadReport &report)
{
    if (numbers.size() % crashNumbers != 0) {
        return false;
    }
    for (auto it = numbers.begin(); it != numbers.end(); it += crashNumbers) {
        const auto age = durationOf(it[2]);
        if (!age) {
            return false;
        }
        report.crashes.crashes.push_back({it[0],
                                          it[1],
                                          *age,
                                          (it[3] & refutedFlag) != 0,
                                          (it[3] & confirmedFlag) != 0,
                                          (it[3] & ofRefusedFlag) != 0});
    }
    return true;
}

NumberList soundNumbersOf(const LoadReport &report)
{
    NumberList numbers;
    for (const auto &it : report.crashes.sound) {
        numbers.insert(numbers.end(), {it.trait, millisecondsOf(it.age)});
    }
    return numbers;
}

bool readSound(const NumberList &numbers, LoadReport &report)
{
    if (numbers.size() % soundNumbers != 0) {
        return false;
    }
    for (auto it = numbers.begin(); it != numbers.end(); it += soundNumbers) {
        const auto age = durationOf(it[1]);
        if (!age) {
            return false;
        }
        report.crashes.sound.push_back({it[0], *age});
    }
    return true;
}

} // namespace

NumberListEntry crashesEntry()
{
    return {"x", crashNumbersOf, readCrashes};
}

NumberListEntry soundEntry()
{
    return {"o", soundNumbersOf, readSound};
}

} // namespace monsoonward
