// Checks of the promises against planted timelines.
#include "section.h"
#include "soak/promises.h"

using namespace zinniabarrow;
using namespace zinniabarrow::soak;
using namespace zinniabarrow::tests;

Test(soak_promises, a_clean_timeline_breaks_none)
{
    check(brokenPromises({}, {}).empty());
}
