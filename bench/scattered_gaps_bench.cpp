// Compares placement of long-running tasks, with and without moves, on the same seeded sequences.
// Prints a table in Markdown: means over the seeds, with standard errors. Columns:
//   waiting         task-seconds without a running worker, of those asked for
//   scattered       the part of them that the processors free in sum would hold, all at a time
//   saved           by moves, of the waiting without them, less the time that runs stand still
//   better fit      what is lost less than by placement as it is with the same moves, of the
//                   task-seconds asked for
//   standing still  task-seconds of runs that are being moved, of those asked for
//
//   scattered_gaps_bench [--site N] [--load SHARE]... [--owners N]... [--seeds N] ...
#include <cmath>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include <fmt/core.h>
#include <tclap/CmdLine.h>

#include "scattered_gaps_model.h"

using namespace zinniabarrow::bench;

namespace {

struct bench_options
{
    std::vector<gap_site> sites;
    std::vector<double> loads;
    std::vector<int> owners;
    int seeds = 0;
    trace_settings trace;
    gap_policy policy;
};

double meanOf(const std::vector<double> &values)
{
    double sum = 0;
    for (const auto value : values)
        sum += value;
    return sum / static_cast<double>(values.size());
}

double standardErrorOf(const std::vector<double> &values)
{
    const auto count = static_cast<double>(values.size());
    const double mean = meanOf(values);
    double squares = 0;
    for (const auto value : values)
        squares += (value - mean) * (value - mean);
    return count > 1 ? std::sqrt(squares / (count - 1) / count) : 0;
}

std::string describe(const gap_policy &policy)
{
    constexpr const char *Moves[] = {"none", "one", "two"};
    if (policy.maxMoves == 0)
        return "none | any";
    return fmt::format("{}{} | {}", Moves[policy.maxMoves],
                       policy.mayMoveOtherOwnersRuns ? ", of any owner" : "", policy.owners);
}

std::string meanAndError(const std::vector<double> &values)
{
    return fmt::format("{:.2f} ({:.2f})", meanOf(values), standardErrorOf(values));
}

std::vector<double> lostShares(const std::vector<gap_result> &results)
{
    std::vector<double> shares;
    for (const auto &result : results)
        shares.push_back(result.waitingShare() + result.standstillShare());
    return shares;
}

// Mean over the seeds of what is lost less in `results`, in per cent of `whole`.
std::string describeSaving(const std::vector<gap_result> &reference,
                           const std::vector<gap_result> &results, double whole)
{
    auto saved = lostShares(reference);
    const auto lost = lostShares(results);
    for (std::size_t seed = 0; seed < saved.size(); ++seed)
        saved[seed] = 100 * (saved[seed] - lost[seed]) / whole;
    return whole > 0 ? meanAndError(saved) : "-";
}

struct compared_results
{
    std::vector<gap_result> results;
    std::vector<gap_result> withoutMoves; // with the same fit
    std::vector<gap_result> scored;       // with the same moves, placed as it is
};

void printRow(const gap_policy &policy, const compared_results &compared)
{
    const auto column = [&](auto member, double factor) {
        std::vector<double> values;
        for (const auto &result : compared.results)
            values.push_back(factor * std::invoke(member, result));
        return meanAndError(values);
    };
    const auto savedByMoves = describeSaving(compared.withoutMoves, compared.results,
                                             meanOf(lostShares(compared.withoutMoves)));
    fmt::print("| {} | {} | {} | {} | {} | {} | {} | {} |\n", nameOf(policy.fit), describe(policy),
               column(&gap_result::waitingShare, 100), column(&gap_result::scatteredShare, 100),
               policy.maxMoves > 0 ? savedByMoves : "",
               policy.fit == gap_fit::Scored ? ""
                                             : describeSaving(compared.scored, compared.results, 1),
               column(&gap_result::movesPerMinute, 1), column(&gap_result::standstillShare, 100));
}

std::vector<gap_policy> comparedPolicies(const bench_options &options)
{
    std::vector<gap_policy> policies;
    auto policy = options.policy;
    for (const auto fit : {gap_fit::Scored, gap_fit::Tightest, gap_fit::TightestByClass}) {
        policy.fit = fit;
        policy.maxMoves = 0;
        policies.push_back(policy);
        for (const int owners : options.owners) {
            for (const auto &[maxMoves, mayMoveOtherOwnersRuns] :
                 {std::pair{1, false}, {1, true}, {2, false}}) {
                policy.owners = owners;
                policy.maxMoves = maxMoves;
                policy.mayMoveOtherOwnersRuns = mayMoveOtherOwnersRuns;
                if (owners > 1 || !mayMoveOtherOwnersRuns)
                    policies.push_back(policy);
            }
        }
        policy = options.policy;
    }
    policy.fit = gap_fit::Repacked;
    policies.push_back(policy);
    return policies;
}

void compare(const gap_site &site, const trace_settings &settings, const bench_options &options)
{
    std::vector<gap_trace> traces;
    for (int seed = 1; seed <= options.seeds; ++seed) {
        auto seeded = settings;
        seeded.seed = static_cast<std::uint64_t>(seed);
        traces.push_back(makeTrace(site, seeded));
    }
    fmt::print("\n{} workers of {}; load {}, {} seeds\n\n", site.workers, site.name, settings.load,
               options.seeds);
    fmt::print("| fit | moves | owners | waiting, % | scattered, % | saved, % | better fit, % "
               "| moves a minute | standing still, % |\n|---|---|---|---|---|---|---|---|---|\n");
    compared_results compared;
    std::map<std::string, std::vector<gap_result>> scoredByMoves;
    for (const auto &policy : comparedPolicies(options)) {
        compared.results.clear();
        for (const auto &trace : traces)
            compared.results.push_back(runGaps(trace, policy));
        if (policy.maxMoves == 0)
            compared.withoutMoves = compared.results;
        // Placement as it is comes first.
        compared.scored =
                scoredByMoves.try_emplace(describe(policy), compared.results).first->second;
        printRow(policy, compared);
    }
}

bench_options readOptions(int argc, char **argv)
{
    TCLAP::CmdLine command("Compares placement of long-running tasks, with and without moves");
    TCLAP::MultiArg<int> site("", "site", "index of a site; default: all", false, "N", command);
    TCLAP::MultiArg<double> load("", "load", "processors asked for", false, "SHARE", command);
    TCLAP::MultiArg<int> owners("", "owners", "number of owners", false, "N", command);
    TCLAP::ValueArg<int> seeds("", "seeds", "number of seeds", false, 10, "N", command);
    bench_options options;
    const auto addSeconds = [&](const char *name, const char *text, double value) {
        return TCLAP::ValueArg<double>("", name, text, false, value, "SECONDS");
    };
    auto seconds = addSeconds("seconds", "virtual time", options.trace.seconds);
    auto stay = addSeconds("stay", "mean stay of a job", options.trace.meanStay);
    auto leave = addSeconds("leave", "mean time between leaves", options.trace.meanLeaveInterval);
    auto wait = addSeconds("wait", "wait before a move", options.policy.waitBeforeMove);
    auto still = addSeconds("standstill", "of a moved run", options.policy.standstill);
    auto again = addSeconds("again", "time until a run moves again", options.policy.moveInterval);
    for (auto *argument : {&seconds, &stay, &leave, &wait, &still, &again})
        command.add(*argument);
    command.parse(argc, argv);
    const auto all = gapSites();
    for (const int number : site.getValue())
        options.sites.push_back(all.at(static_cast<std::size_t>(number)));
    if (options.sites.empty())
        options.sites = all;
    options.loads =
            load.isSet() ? load.getValue() : std::vector<double>{0.5, 0.7, 0.8, 0.85, 0.9, 0.95};
    options.owners = owners.isSet() ? owners.getValue() : std::vector<int>{1, 4, 10};
    options.seeds = seeds.getValue();
    options.trace.seconds = seconds.getValue();
    options.trace.meanStay = stay.getValue();
    options.trace.meanLeaveInterval = leave.getValue();
    options.policy.waitBeforeMove = wait.getValue();
    options.policy.standstill = still.getValue();
    options.policy.moveInterval = again.getValue();
    return options;
}

} // namespace

int main(int argc, char **argv)
{
    const auto options = readOptions(argc, argv);
    for (const auto &site : options.sites) {
        for (const auto load : options.loads) {
            auto settings = options.trace;
            settings.load = load;
            compare(site, settings, options);
        }
    }
    return 0;
}
