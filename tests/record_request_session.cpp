// Prints the recorded session, to be read and then kept as tests/golden/request_session.jsonl. No
// test runs this: a changed decision must show as a difference to the kept file.
#include <fmt/core.h>

#include "request_session.h"

int main()
{
    for (const auto &line : zinniabarrow::tests::recordSession())
        fmt::print("{}\n", line);
    return 0;
}
