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
    Explanation explanation({"r1"});
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
        Explanation explanation({request});
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
    Explanation explanation({"r1"});
    explanation.read(log);
    CHECK(explanation.text().empty());
    CHECK(explanation.malformedLines() == 0);
}

TEST_CASE("an explanation of a stream has all requests that took it up, whichever of them is named")
{
    const std::string log =
        record(1000, "g1", 6003, "attempt-failed", R"(,"request":"r1","engine":"e1","version":"v1","events":2)")
        + record(1100, "g1", 6002, "broken-off", R"(,"request":"r1","engine":"e1","version":"v1","resumes":"")")
        + record(1200, "g2", 6002, "refused", R"(,"request":"r2","resumes":"r1","reason":"stream-unknown")")
        + record(1300, "g3", 6001, "served", R"(,"request":"r3","resumes":"r1","version":"v1","known_by":"g4")")
        + record(1400, "g3", 6001, "served", R"(,"request":"r4","resumes":"other","version":"v2")");
    for (const auto *it : {"r1", "r2", "r3"}) {
        std::istringstream first(log);
        std::istringstream second(log);
        monsoonctl::StreamChain chain;
        chain.read(first);
        Explanation explanation(chain.requestsWith(it));
        explanation.read(second);
        CHECK(explanation.text()
              == "1000 g1 attempt-failed engine=e1 events=2 request=r1 version=v1\n"
                 "1100 g1 broken-off engine=e1 request=r1 version=v1\n"
                 "1200 g2 refused reason=stream-unknown request=r2 resumes=r1\n"
                 "1300 g3 served known_by=g4 request=r3 resumes=r1 version=v1\n");
    }
    CHECK(monsoonctl::StreamChain().requestsWith("r9") == std::set<std::string> {"r9"});
}
