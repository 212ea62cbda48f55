#include "explain.h"

#include <doctest/doctest.h>

#include <sstream>

using monsoonctl::Explanation;

namespace
{

std::string
record(int time, const std::string &host, int event, const std::string &what, const std::string &otherFields)
{
    return R"({"time":)" + std::to_string(time) + R"(,"host":")" + host + R"(","life":1,"severity":"info","event":)"
        + std::to_string(event) + R"(,"what":")" + what + "\"" + otherFields + "}\n";
}

} // namespace

TEST_CASE("an explanation contains the request's records and earlier ones about its engines, in order of time")
{
    std::istringstream first(
        record(60000, "g1", 6002, "failed", R"(,"request":"r1","reason":"engine-lost","engine":"e1","after_ms":900)")
        + record(59500, "g1", 6003, "attempt-failed", R"(,"request":"r1","engine":"e1","end":"broken")")
        + record(59400, "g1", 6103, "engine-paused", R"(,"engine":"e1")")
        + record(59300, "g1", 6103, "engine-paused", R"(,"engine":"e2")")
        + record(59000, "g1", 6001, "served", R"(,"request":"r2","engine":"e1")") + "not a record\n");
    std::istringstream second(record(58000, "g2", 5001, "store-unavailable", "")
                              + record(30000, "g1", 4001, "configuration-adopted", R"(,"revision":3)")
                              + record(55000, "g1", 4001, "configuration-adopted", R"(,"revision":4)"));
    Explanation explanation("r1");
    explanation.read(first);
    explanation.read(second);
    CHECK(explanation.text()
          == "55000 g1 configuration-adopted revision=4\n"
             "59400 g1 engine-paused engine=e1\n"
             "59500 g1 attempt-failed end=broken engine=e1\n"
             "60000 g1 failed after_ms=900 engine=e1 reason=engine-lost\n");
    CHECK(explanation.malformedLines() == 1);
}

TEST_CASE("an explanation names the newest limits of the engines however old they are")
{
    const std::string log =
        record(1000, "g1", 6107, "engine-limit-stated", R"(,"engine":"e1","per_second":9.5,"own_per_second":3.0)")
        + record(2000, "g1", 6107, "engine-limit-stated", R"(,"engine":"e1","per_second":5.5,"own_per_second":2.0)")
        + record(2000, "g2", 6107, "engine-limit-stated", R"(,"engine":"e1","per_second":5.5,"own_per_second":3.5)")
        + record(3000, "g1", 6107, "engine-limit-stated", R"(,"engine":"e2","per_second":1.0,"own_per_second":0.0)")
        + record(60000, "g1", 6001, "served", R"(,"request":"r1","engine":"e1")")
        + record(60000, "g1", 6002, "refused", R"(,"request":"r2","reason":"engines-limited","engine":"")")
        + record(61000, "g1", 6108, "engine-limit-lifted", R"(,"engine":"e2")");
    const auto explain = [&](const char *request) {
        std::istringstream in(log);
        Explanation explanation(request);
        explanation.read(in);
        return explanation.text();
    };
    const std::string limit = "2000 g1 engine-limit-stated engine=e1 own_per_second=2.0 per_second=5.5\n";
    CHECK(explain("r1") == limit + "60000 g1 served engine=e1\n");
    CHECK(explain("r2")
          == limit + "3000 g1 engine-limit-stated engine=e2 own_per_second=0.0 per_second=1.0\n"
              + "60000 g1 refused reason=engines-limited\n");
}

TEST_CASE("a request that is not in the logs has no explanation")
{
    std::istringstream log(record(1, "g", 6001, "served", R"(,"request":"other")"));
    Explanation explanation("r1");
    explanation.read(log);
    CHECK(explanation.text().empty());
    CHECK(explanation.malformedLines() == 0);
}
