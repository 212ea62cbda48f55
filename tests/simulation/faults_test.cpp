#include "simulation.h"

#include <doctest/doctest.h>

using namespace monsoonward;
using namespace std::chrono_literals;

namespace
{

CallerRequest request(const std::string &name, const std::string &entry)
{
    CallerRequest request;
    request.name = name;
    request.entry = entry;
    return request;
}

void checkPromises(const Simulation &fleet)
{
    for (const auto &it : fleet.broken(true)) {
        FAIL_CHECK(it);
    }
}

} // namespace

TEST_CASE("a request runs once and its caller gets its own whole answer")
{
    Simulation fleet;
    fleet.start({});
    fleet.send(request("a", "entry-1"));
    fleet.run(5s);
    CHECK(fleet.outcome("a").verdict == Verdict::Completed);
    CHECK(fleet.runs("a") == 1);
    checkPromises(fleet);
}
