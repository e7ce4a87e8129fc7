// Prints the recorded session of work, to be read and then kept as tests/golden/work_session.jsonl.
// No test runs this: a changed decision must show as a difference to the kept file.
#include <fmt/core.h>

#include "work_session.h"

int main()
{
    std::vector<zinniabarrow::work::trace_violation> violations;
    for (const auto &line : zinniabarrow::tests::recordWorkSession(&violations))
        fmt::print("{}\n", line);
    return violations.empty() ? 0 : 1;
}
