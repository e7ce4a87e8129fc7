// Compares a whole session of work, to the byte, with the one that was read and kept. A changed
// decision shows as a difference; tests/record_work_session prints the session anew.
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
    section("no promise is broken on the way", [&] { check(violations.empty()); });
    section("line by line", [&] {
        require(actual.size() == expected.size());
        for (std::size_t index = 0; index < expected.size(); ++index)
            cr_expect_str_eq(actual[index].c_str(), expected[index].c_str(), "line %zu", index + 1);
    });
    section("the session shows each step", [&] {
        for (const auto *event : {"started", "evicted", "resumed", "ended", "cancelled"}) {
            const auto part = std::string("\"event\":\"") + event + "\"";
            check(std::any_of(expected.begin(), expected.end(),
                              [&](const auto &line) { return line.find(part) != line.npos; }));
        }
    });
}
