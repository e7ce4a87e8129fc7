// Prints the session of work_session.h, to be reviewed and stored as
// tests/golden/work_session.jsonl. No test runs this program, so that a changed decision shows up
// as a difference to the stored file.
#include <fmt/core.h>

#include "work_session.h"

int main()
{
    std::vector<zinniabarrow::work::trace_violation> violations;
    for (const auto &line : zinniabarrow::tests::recordWorkSession(&violations))
        fmt::print("{}\n", line);
    return violations.empty() ? 0 : 1;
}
