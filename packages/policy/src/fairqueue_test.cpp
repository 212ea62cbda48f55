#include "fairqueue.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace monsoonward;

namespace
{

Reservation makeReservation(std::uint64_t number, unsigned tier, const std::string &customer, int deadlineSeconds)
{
    Reservation it;
    it.reserve.id = {{1, 1}, number};
    it.reserve.tier = Tier(tier);
    it.reserve.customer = CustomerName(customer);
    it.reserve.promptTokens = 100;
    it.deadline = TimePoint(std::chrono::seconds(deadlineSeconds));
    return it;
}

std::uint64_t takeFirst(FairQueue &queue)
{
    const auto *it = queue.findFirst(1, [](const Reservation &) { return true; });
    return it == nullptr ? 0 : queue.take(it->reserve.id).reserve.id.sequence;
}

} // namespace

TEST_CASE("the highest tier comes first, then the earliest deadline of a customer")
{
    FairQueue queue;
    queue.push(makeReservation(1, 1, "a", 1));
    queue.push(makeReservation(2, 0, "a", 9));
    queue.push(makeReservation(3, 0, "a", 5));
    CHECK(takeFirst(queue) == 3);
    CHECK(takeFirst(queue) == 2);
    CHECK(takeFirst(queue) == 1);
    CHECK(queue.empty());
}

TEST_CASE("a customer with many requests doesn't delay another customer of the same tier")
{
    FairQueue queue;
    for (std::uint64_t n = 1; n <= 100; ++n) {
        queue.push(makeReservation(n, 0, "large", 1));
    }
    queue.push(makeReservation(101, 0, "small", 9));
    takeFirst(queue);
    CHECK(takeFirst(queue) == 101);
}

TEST_CASE("loads, expiry and tier order stay correct under random sequences of changes")
{
    const bool passed = rc::check("fair queue", [](const std::vector<std::pair<std::uint8_t, std::uint8_t>> &steps) {
        FairQueue queue;
        std::map<std::uint64_t, Reservation> model;
        for (const auto &[action, n] : steps) {
            const auto it = makeReservation(n % 16 + 1, n % 3, std::string(1, static_cast<char>('a' + n % 4)), n);
            if (action % 3 == 0) {
                RC_ASSERT(queue.erase(it.reserve.id) == (model.erase(it.reserve.id.sequence) == 1));
            } else if (action % 3 == 1) {
                queue.push(it);
                model[it.reserve.id.sequence] = it;
            } else if (const auto taken = takeFirst(queue)) {
                const auto tier = model.at(taken).reserve.tier;
                for (const auto &[number, other] : model) {
                    RC_ASSERT(!other.reserve.tier.isHigherThan(tier));
                }
                model.erase(taken);
            } else {
                RC_ASSERT(model.empty());
            }
            std::size_t waiting = 0;
            for (const auto &load : queue.tierLoads()) {
                waiting += load.waiting;
            }
            RC_ASSERT(waiting == model.size());
            RC_ASSERT(queue.expired(TimePoint(std::chrono::hours(1))).size() == model.size());
        }
    });
    CHECK(passed);
}
