// Checks the model of scattered gaps (bench/scattered_gaps_model.h): what its moves may do, and
// that they leave no more tasks waiting than placement without them. Seeded, so results are
// reproducible.
#include <functional>
#include <map>
#include <set>
#include <utility>

#include <criterion/criterion.h>

#include "scattered_gaps_model.h"

using namespace zinniabarrow::bench;

namespace {

constexpr int Seeds = 4;

gap_trace traceOf(const gap_site &site, int seed, double load)
{
    trace_settings settings;
    settings.seed = static_cast<std::uint64_t>(seed);
    settings.load = load;
    settings.seconds = 600;
    return makeTrace(site, settings);
}

gap_policy movingPolicy(gap_fit fit, int owners, int maxMoves)
{
    gap_policy policy;
    policy.fit = fit;
    policy.owners = owners;
    policy.maxMoves = maxMoves;
    return policy;
}

void forEachTrace(const std::function<void(const gap_trace &)> &check)
{
    for (const auto &site : gapSites()) {
        for (int seed = 1; seed <= Seeds; ++seed)
            check(traceOf(site, seed, 0.95));
    }
}

void checkMoves(const gap_result &result, const gap_policy &policy)
{
    std::map<std::pair<int, int>, std::set<int>> left; // by run: the workers that it was moved from
    std::map<std::pair<int, int>, double> movedAt;     // by run
    std::map<int, double> ownerMovedAt;
    for (const auto &move : result.moves) {
        const std::pair run{move.task, move.placementNumber};
        cr_expect(move.runOwner == move.owner, "a run of another owner was moved");
        cr_expect(move.from != move.to);
        cr_expect(!left[run].contains(move.to), "task %d moved back to worker %d", move.task,
                  move.to);
        cr_expect(!movedAt.contains(run) || move.at - movedAt[run] >= policy.moveInterval);
        // Moves of a chain start together.
        cr_expect(!ownerMovedAt.contains(move.owner) || move.at == ownerMovedAt[move.owner]
                  || move.at - ownerMovedAt[move.owner] >= policy.standstill);
        left[run].insert(move.from);
        movedAt[run] = move.at;
        ownerMovedAt[move.owner] = move.at;
    }
}

} // namespace

// Guards against moves that exchange one gap for another and back, that overfill a worker, or that
// owners make of each other's runs.
Test(scattered_gaps, moves_keep_to_their_bounds)
{
    std::size_t moves = 0;
    forEachTrace([&](const gap_trace &trace) {
        for (const int owners : {1, 4}) {
            for (const int maxMoves : {1, 2}) {
                auto policy = movingPolicy(gap_fit::Scored, owners, maxMoves);
                policy.moveInterval = 20; // more runs move a second time
                const auto result = runGaps(trace, policy);
                cr_expect(result.limitViolations == 0);
                checkMoves(result, policy);
                moves += result.moves.size();
            }
        }
    });
    cr_expect(moves > 100, "only %zu moves were checked", moves);
}

// Guards against moves that leave more tasks waiting than they place, and against a bound in the
// tables that is none.
Test(scattered_gaps, fewer_tasks_wait_with_moves)
{
    const auto waitingShare = [](const gap_policy &policy) {
        double sum = 0;
        forEachTrace([&](const gap_trace &trace) { sum += runGaps(trace, policy).waitingShare(); });
        return sum;
    };
    const double repacked = waitingShare(movingPolicy(gap_fit::Repacked, 1, 0));
    for (const auto fit : {gap_fit::Scored, gap_fit::Tightest, gap_fit::TightestByClass}) {
        const double without = waitingShare(movingPolicy(fit, 1, 0));
        const double with = waitingShare(movingPolicy(fit, 1, 1));
        cr_expect(without > 0);
        cr_expect(with <= without, "%f waiting with moves, %f without", with, without);
        cr_expect(repacked <= with, "%f waiting with unlimited moves, %f with one", repacked, with);
    }
}
