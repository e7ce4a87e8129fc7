// Plans of the process soak: what every plan that is drawn keeps to.
#include <map>

#include "section.h"
#include "soak/plan.h"

using namespace zinniabarrow;
using namespace zinniabarrow::soak;

namespace {

constexpr unsigned SeedCount = 200;

struct target_of
{
    std::string operator()(const stop_process &action) const { return action.process; }
    std::string operator()(const kill_process &action) const { return action.process; }
    std::string operator()(const freeze_process &action) const { return action.process; }
    std::string operator()(const reload_process &action) const { return action.process; }
    std::string operator()(const store_fault &) const { return "store"; }
    std::string operator()(const worker_fault &action) const
    {
        return "worker-" + std::to_string(action.worker);
    }
    std::string operator()(const link_fault &action) const { return action.from + ">" + action.to; }
};

bool isPlanned(const disruption &drawn)
{
    return std::holds_alternative<stop_process>(drawn.action)
           || std::holds_alternative<reload_process>(drawn.action);
}

// May begin while its process is being stopped.
bool mayOverlap(const disruption &drawn)
{
    return std::holds_alternative<freeze_process>(drawn.action)
           || std::holds_alternative<reload_process>(drawn.action);
}

plan_options allKinds()
{
    plan_options options;
    options.links = {{"entry-0", "store"}, {"agent-1", "worker-1"}, {"entry-0", "agent-1"}};
    return options;
}

} // namespace

// Guards against a soak whose calm span still contains disruptions.
Test(soak_plan, disruptions_end_in_time)
{
    const auto options = allKinds();
    for (unsigned seed = 1; seed <= SeedCount; ++seed) {
        for (const auto &drawn : drawPlan(seed, options)) {
            check(drawn.from >= options.firstAt);
            check(drawn.from <= drawn.until);
            check(drawn.until <= options.endsAt);
        }
    }
}

// Guards against disruptions that end each other: the store would be well while it is down.
Test(soak_plan, a_target_has_one_disruption_at_a_time)
{
    for (unsigned seed = 1; seed <= SeedCount; ++seed) {
        std::map<std::string, milliseconds> busyUntil;
        for (const auto &drawn : drawPlan(seed, allKinds())) {
            if (mayOverlap(drawn))
                continue;
            auto &until = busyUntil[std::visit(target_of{}, drawn.action)];
            check(drawn.from >= until);
            until = drawn.until;
        }
    }
}

// Guards against faults in the seeds that check the rule on planned stops, which holds only there.
Test(soak_plan, planned_stops_only)
{
    auto options = allKinds();
    options.hasPlannedStopsOnly = true;
    for (unsigned seed = 1; seed <= SeedCount; ++seed) {
        const auto plan = drawPlan(seed, options);
        check(!plan.empty());
        for (const auto &drawn : plan)
            check(isPlanned(drawn));
    }
}

// Guards against a seed that can't be played again.
Test(soak_plan, a_seed_draws_the_same_plan_again)
{
    const auto plan = drawPlan(7, allKinds());
    const auto again = drawPlan(7, allKinds());
    check(plan.size() == again.size());
    for (std::size_t index = 0; index < plan.size(); ++index) {
        check(plan[index].from == again.at(index).from);
        check(plan[index].until == again.at(index).until);
        check(plan[index].action.index() == again.at(index).action.index());
    }
}
