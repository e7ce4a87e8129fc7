// Searches seeded orders of events for one in which a task runs twice, or, although all faults have
// ended, a task stalls, waits beside free capacity, or with copies does not end; with slow stops
// also for one in which a worker is given more than it holds, and with gangs for one in which a
// member waits in vain for another. Exit codes: 0 no
// violation, 1 some seeds failed, 2 usage error.
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include <fmt/core.h>
#include <tclap/CmdLine.h>

#include "order_search.h"

using namespace zinniabarrow;
using namespace zinniabarrow::tests;

namespace {

constexpr int ExitDone = 0;
constexpr int ExitFailed = 1;
constexpr int ExitUsage = 2;

struct seed_range
{
    std::uint64_t first = 0;
    std::uint64_t last = 0;
};

// Parses "7" or "1-40".
seed_range rangeFrom(const std::string &text)
{
    const auto dash = text.find('-');
    const auto first = std::stoull(text.substr(0, dash));
    const auto last = dash == std::string::npos ? first : std::stoull(text.substr(dash + 1));
    return {first, last};
}

struct search_totals
{
    std::vector<std::uint64_t> failedSeeds;
    std::uint64_t seedCount = 0;
    std::int64_t startCount = 0;
    std::int64_t copyCount = 0;
    std::int64_t aloneCount = 0;
    std::size_t finishedJobCount = 0;
};

void printTrace(std::uint64_t seed, search_kind kind)
{
    const auto tracedResult = order_search(seed, true, kind).run();
    for (const auto &line : tracedResult.trace)
        fmt::print("    {}\n", line);
}

void searchSeed(std::uint64_t seed, search_kind kind, bool printsTrace, search_totals &totals)
{
    const auto result = order_search(seed, false, kind).run();
    ++totals.seedCount;
    totals.startCount += result.startCount;
    totals.copyCount += result.copyCount;
    totals.aloneCount += result.aloneCount;
    totals.finishedJobCount += result.finishedJobCount;
    if (printsTrace)
        printTrace(seed, kind);
    if (result.violations.empty())
        return;
    totals.failedSeeds.push_back(seed);
    for (const auto &violation : result.violations)
        fmt::print("seed {}: {}\n", seed, violation);
}

int search(const std::vector<std::string> &ranges, search_kind kind, bool printsTrace)
{
    search_totals totals;
    for (const auto &text : ranges) {
        const auto range = rangeFrom(text);
        for (auto seed = range.first; seed <= range.last; ++seed)
            searchSeed(seed, kind, printsTrace, totals);
    }
    fmt::print("{} seeds, {} failed, {} starts, {} of them copies, {} ended alone, {} jobs "
               "finished\n",
               totals.seedCount, totals.failedSeeds.size(), totals.startCount, totals.copyCount,
               totals.aloneCount, totals.finishedJobCount);
    return totals.failedSeeds.empty() ? ExitDone : ExitFailed;
}

} // namespace

int main(int argumentCount, char **arguments)
{
    try {
        TCLAP::CmdLine command("order_search", ' ', "1");
        command.setExceptionHandling(false);
        TCLAP::MultiArg<std::string> seeds("", "seeds", "seeds to run", true, "A-B", command);
        TCLAP::SwitchArg trace("", "trace", "print the events of each seed", command);
        TCLAP::SwitchArg searchesStalls("", "standing", "search for stalled tasks", command);
        TCLAP::SwitchArg searchesHeldRoom("", "room", "search for free capacity that isn't used",
                                          command);
        TCLAP::SwitchArg searchesCopies("", "copies", "search with copies of slow tasks", command);
        TCLAP::SwitchArg searchesStops("", "stops", "search with runs that take long to stop",
                                       command);
        TCLAP::SwitchArg searchesGangs("", "gangs", "search with gangs beside restarts", command);
        TCLAP::SwitchArg searchesRestarts(
                "", "restarts", "search with calls that outlive a restart of their worker",
                command);
        command.parse(argumentCount, arguments);
        if (searchesStalls.getValue() + searchesHeldRoom.getValue() + searchesCopies.getValue()
                    + searchesStops.getValue() + searchesGangs.getValue()
                    + searchesRestarts.getValue()
            > 1)
            throw TCLAP::ArgException(
                    "give one of --standing, --room, --copies, --stops, --gangs and --restarts");
        const auto kind = searchesRestarts.getValue()   ? search_kind::Restarts
                          : searchesGangs.getValue()    ? search_kind::Gangs
                          : searchesStops.getValue()    ? search_kind::SlowStops
                          : searchesCopies.getValue()   ? search_kind::Copies
                          : searchesHeldRoom.getValue() ? search_kind::HeldRoom
                          : searchesStalls.getValue()   ? search_kind::StalledTasks
                                                        : search_kind::DuplicateRuns;
        return search(seeds.getValue(), kind, trace.getValue());
    } catch (const TCLAP::ExitException &exit) {
        return exit.getExitStatus() == 0 ? ExitDone : ExitUsage;
    } catch (const TCLAP::ArgException &exception) {
        fmt::print(stderr, "{} {}\n", exception.error(), exception.argId());
        return ExitUsage;
    } catch (const std::logic_error &exception) {
        fmt::print(stderr, "not a range of seeds: {}\n", exception.what());
        return ExitUsage;
    }
}
