// Compares a whole session, byte for byte, with the reviewed recording in tests/golden. Any changed
// decision shows up as a difference. tests/record_work_session prints a new recording.
#include <fstream>

#include "section.h"
#include "work_session.h"

using namespace zinniabarrow;
using namespace zinniabarrow::tests;

Test(work_session, replay)
{
    std::ifstream file(WorkSessionFile);
    require(file.good());
    std::vector<std::string> expected;
    for (std::string line; std::getline(file, line);)
        expected.push_back(line);
    std::vector<trace_violation> violations;
    const auto actual = recordWorkSession(&violations);
    section("the trace has no violations", [&] { check(violations.empty()); });
    section("each line is as recorded", [&] {
        require(actual.size() == expected.size());
        for (std::size_t index = 0; index < expected.size(); ++index)
            cr_expect_str_eq(actual[index].c_str(), expected[index].c_str(), "line %zu", index + 1);
    });
    section("the recording contains each kind of step", [&] {
        for (const auto *event : {"started", "evicted", "resumed", "ended", "cancelled"}) {
            const auto part = std::string("\"event\":\"") + event + "\"";
            check(std::any_of(expected.begin(), expected.end(),
                              [&](const auto &line) { return line.find(part) != line.npos; }));
        }
    });
}
