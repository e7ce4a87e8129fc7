// Processor time that a change of the configuration takes at an entry, by the number of jobs in the
// folder: checking the folder, and parsing the accepted content.
#include <benchmark/benchmark.h>
#include <fmt/format.h>

#include "config/generation_records.h"
#include "config/validate.h"

using namespace zinniabarrow;
using namespace zinniabarrow::config;

namespace {

constexpr int JobsInFile = 10;

std::string makeJobsFile(int first)
{
    std::string jobs;
    for (int job = first; job < first + JobsInFile; ++job) {
        jobs += fmt::format(R"({}"job-{}": {{"team": "gate", "pool": "rink", "tasks": 4,
  "size": {{"millicores": 1000, "bytes": 1000000}}, "run_time_estimate_ms": 90000}})",
                            job == first ? "" : ", ", job);
    }
    return "{\"jobs\": {" + jobs + "}}";
}

std::vector<folder_file> makeFolder(std::int64_t jobs)
{
    std::vector<folder_file> files{{"00-basis.json", R"({
  "teams": {"gate": {"quota": {"millicores": 160000, "bytes": 600000000}}},
  "pools": {"rink": {"zones": ["kartli-a"], "workers": 790,
                     "worker": {"millicores": 16000, "bytes": 60000000}}}
})"}};
    for (int first = 0; first < jobs; first += JobsInFile)
        files.push_back({fmt::format("jobs-{:06}.json", first), makeJobsFile(first)});
    return files;
}

void checkFolderOfJobs(benchmark::State &state)
{
    const auto files = makeFolder(state.range(0));
    for (auto round : state) {
        std::ignore = round;
        const auto checked = checkFolder(files);
        if (!checked.isAcceptable())
            state.SkipWithError("refused");
    }
    state.counters["jobs"] = static_cast<double>(state.range(0));
}

void parseContent(benchmark::State &state)
{
    const auto checked = checkFolder(makeFolder(state.range(0)));
    const auto text = contentText({checked.mergedConfig, {}, {}});
    for (auto round : state) {
        std::ignore = round;
        benchmark::DoNotOptimize(contentFromText(text));
    }
    state.counters["bytes"] = static_cast<double>(text.size());
}

BENCHMARK(checkFolderOfJobs)->Arg(100)->Arg(1000)->Arg(10'000)->Unit(benchmark::kMillisecond);
BENCHMARK(parseContent)->Arg(100)->Arg(1000)->Arg(10'000)->Unit(benchmark::kMillisecond);

} // namespace

BENCHMARK_MAIN();
