// Replays the events of the recorded session; all actions must be identical to the recorded ones.
#include <fstream>

#include "request_session.h"
#include "section.h"

using namespace zinniabarrow;
using namespace zinniabarrow::delivery;
using tests::section;

Test(request_session, replay)
{
    std::ifstream file(tests::SessionFile);
    require(file.good());
    request_flow flow(
            "e1", tests::sessionSettings(), [](error_kind) { return true; },
            [](const auto &) { return true; });
    std::vector<std::string> expected;
    std::vector<std::string> replayed;
    for (std::string text; std::getline(file, text);) {
        expected.push_back(text);
        const auto line = parseJson(text);
        if (!line.isMember("event"))
            continue;
        const auto now = time_point(milliseconds(line["at_ms"].asInt64()));
        const auto write = [&](Json::Value value) {
            value["at_ms"] = line["at_ms"];
            replayed.push_back(compactJson(value));
        };
        const auto event = flowEventFromJson(line, now);
        write(toJson(event, now));
        for (const auto &action : flow.handle(event, now))
            write(toJson(action, now));
    }
    check(expected.size() > 60);
    require(replayed.size() == expected.size());
    for (std::size_t i = 0; i < expected.size(); ++i)
        cr_expect_str_eq(replayed[i].c_str(), expected[i].c_str(), "line %zu", i + 1);
}

Test(request_session, broken_lines)
{
    section("the error for an unreadable event names the member", [] {
        const std::vector<std::pair<std::string, std::string>> broken{
                {R"({"event":"nonsense"})", "event"},
                {R"({"event":"upstream_chosen","id":"r"})", "agent"},
                {R"({"event":"none_available","id":"r","kind":"odd"})", "kind"},
                {R"({"event":"attempt_ended","id":"r","attempt":-1,"outcome":"late"})", "attempt"},
                {R"({"event":"attempt_ended","id":"r","attempt":1,"outcome":"odd"})", "outcome"},
                {R"({"event":"attempt_ended","id":"r","attempt":1,"outcome":"cut","ended":"yes"})",
                 "ended"},
                {R"([])", "event"}};
        for (const auto &[text, member] : broken) {
            try {
                flowEventFromJson(parseJson(text), time_point{});
                cr_expect_fail("accepted: %s", text.c_str());
            } catch (const error &problem) {
                check(std::string(problem.what()).find(member) != std::string::npos);
            }
        }
    });
}
