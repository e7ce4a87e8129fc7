// Prints the recorded session, which is reviewed and then stored as
// tests/golden/request_session.jsonl. No test runs this program, so that a changed decision shows
// as a difference from the stored file.
#include <fmt/core.h>

#include "request_session.h"

int main()
{
    for (const auto &line : zinniabarrow::tests::recordSession())
        fmt::print("{}\n", line);
    return 0;
}
