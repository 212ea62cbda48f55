#include "story.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <sstream>

using namespace monsoonward;

namespace monsoonward
{

void showValue(const Step &step, std::ostream &out)
{
    out << static_cast<int>(step.kind) << ":" << step.a << ":" << step.b;
}

} // namespace monsoonward

namespace
{

rc::Gen<Step> anyStep()
{
    const auto kind = rc::gen::weightedOneOf<StepKind>({
        {12, rc::gen::just(StepKind::Send)},
        {12, rc::gen::just(StepKind::SendKeyed)},
        {12,
         rc::gen::map(rc::gen::inRange(0, static_cast<int>(StepKind::Wait) + 1),
                      [](int n) { return static_cast<StepKind>(n); })},
    });
    return rc::gen::build<Step>(rc::gen::set(&Step::kind, kind),
                                rc::gen::set(&Step::a, rc::gen::inRange(0U, 6000U)),
                                rc::gen::set(&Step::b, rc::gen::inRange(0U, 6000U)));
}

std::string joined(const std::vector<std::string> &lines)
{
    std::ostringstream out;
    for (const auto &it : lines) {
        out << it << "\n";
    }
    return out.str();
}

} // namespace

TEST_CASE("the guarantees to callers hold in random scenarios")
{
    const bool held = rc::check("promises", [](std::uint64_t seed) {
        const auto steps = *rc::gen::container<std::vector<Step>>(anyStep());
        RandomScenario scenario(seed);
        for (const auto &it : steps) {
            scenario.apply(it);
        }
        scenario.settle();
        const auto violations = joined(scenario.fleet().violations(true));
        RC_ASSERT(violations == std::string());
    });
    CHECK(held);
}
