// Workers that are full: with tasks that last, and with short ones, of which more come than there
// is room for.
#pragma once

#include <fmt/core.h>

#include "placement_simulation.h"
#include "section.h"

namespace zinniabarrow::tests {

inline constexpr std::int64_t Cores = 1000; // millicores

inline jobs::step_spec lastingStep(int count, std::int64_t millicores)
{
    jobs::step_spec step;
    step.count = count;
    step.size = {millicores, 1000, 0};
    step.lasting = true;
    step.estimateMs = 500;
    return step;
}

inline jobs::step_spec shortStep(int count)
{
    jobs::step_spec step;
    step.count = count;
    step.size = {Cores / 2, 500, 0};
    step.estimateMs = 640;
    return step;
}

inline constexpr int Workers = 8;
inline constexpr int Owners = 3;
inline constexpr milliseconds ShortRun{640};

// Of each worker's 16 cores tasks that last have 10; jobs of short tasks ask for more than the
// rest.
struct busy_site
{
    int owners = Owners;
    placement_world world;
    int handedIn = 0;

    explicit busy_site(int entries = Owners, const world_delays &delays = {})
        : owners(entries)
        , world(entries, delays)
    {
        for (int number = 0; number < Workers; ++number)
            world.addWorker({16 * Cores, 64'000, 0});
        world.advance(milliseconds(1000));
        auto small = lastingStep(4 * Workers, 2500);
        small.mostPerWorker = 4;
        world.submit(0, "small-services", small);
        advance(milliseconds(4000));
        require(world.atWork("small-services") == 4 * Workers);
    }

    // Short tasks for 1.5 times of the 6 cores that each worker has left.
    void advance(milliseconds time)
    {
        constexpr milliseconds Every{40};
        for (milliseconds passed{0}; passed < time; passed += Every) {
            world.submit(handedIn % owners, fmt::format("short-{}", handedIn), shortStep(9),
                         ShortRun);
            ++handedIn;
            world.advance(Every);
        }
    }
};

} // namespace zinniabarrow::tests
