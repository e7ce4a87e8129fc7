// The trigger of relief: a plain moving average against the recency-weighted count over slices with
// rising and falling sets (Adaptive fault tolerance by switching between replication and erasure
// codes, formula 1 and Table 2), on the same seeded sequence of late requests per slice.
//
// Each is tuned on one sequence and judged on others. Wrong: slices in which the signal differs
// from the truth. Raises: how often it went up; each calls for an action that costs batch work.
#include <algorithm>
#include <cmath>
#include <deque>
#include <vector>

#include <fmt/core.h>

#include "base/random.h"
#include "placement/load_signal.h"

namespace {

using zinniabarrow::drawIndex;
using zinniabarrow::drawUniform;
using zinniabarrow::random_generator;
using zinniabarrow::placement::load_signal;
using zinniabarrow::placement::load_signal_settings;

constexpr int SliceCount = 50'000;
constexpr double RaiseCost = 3; // in wrong slices

struct slice
{
    double lateCount = 0; // late requests
    bool isDisturbed = false;
};

// Calm with single spikes, and disturbances that last 8 to 60 slices, some weak and some strong.
std::vector<slice> makeSequence(std::uint64_t seed, double spikes)
{
    random_generator random(seed);
    std::vector<slice> slices;
    while (slices.size() < SliceCount) {
        const bool disturbed = !slices.empty() && !slices.back().isDisturbed;
        const auto length = disturbed ? 8 + drawIndex(random, 53) : 20 + drawIndex(random, 200);
        const double level = disturbed ? 5 + 10 * drawUniform(random) : 2;
        for (std::size_t index = 0; index < length; ++index) {
            double noise = -1.5;
            for (int part = 0; part < 3; ++part)
                noise += drawUniform(random);
            const double spike = drawUniform(random) < spikes ? 15 : 0;
            const double count = level + 2 * noise * std::sqrt(level) + spike;
            slices.push_back({std::max(0.0, std::round(count)), disturbed});
        }
    }
    return slices;
}

// Formula 1: the newest of `slices` counts a half, the one before a quarter, and so on. Table 2: it
// goes up only while rising; a falling one goes down at `fall`, a rising one only a margin below.
struct recency_signal
{
    std::size_t sliceLimit = 8;
    double rise = 5;
    double fall = 3;
    double margin = 1;
    std::deque<double> counts;
    bool isActive = false;

    void add(double count)
    {
        const double change = counts.empty() ? 0 : count - counts.back();
        counts.push_back(count);
        if (counts.size() > sliceLimit)
            counts.pop_front();
        double weighted = 0;
        double weight = 0.5;
        for (auto each = counts.rbegin(); each != counts.rend(); ++each, weight /= 2)
            weighted += *each * weight;
        if (!isActive && change > 0 && weighted > rise)
            isActive = true;
        else if (isActive && weighted < (change < 0 ? fall : fall - margin))
            isActive = false;
    }
};

struct average_signal
{
    load_signal_settings settings;
    load_signal signal;

    void add(double count) { signal.add(count, settings); }
};

bool isRaised(const recency_signal &signal)
{
    return signal.isActive;
}

bool isRaised(const average_signal &signal)
{
    return signal.signal.isRaised();
}

struct score
{
    int wrongSlices = 0;    // slices
    int raises = 0;         //
    int falseRaises = 0;    // while calm
    int episodes = 0;       //
    int missedEpisodes = 0; // episodes never seen
    double meanDelay = 0;   // slices until it is raised, mean over those seen

    double cost() const { return wrongSlices + RaiseCost * raises; }
};

template <typename Signal>
score judge(Signal signal, const std::vector<slice> &sequence)
{
    score result;
    int slicesSinceStart = 0;
    int totalDelay = 0;
    bool isDetected = true;
    bool wasRaised = false;
    bool wasDisturbed = false;
    for (const auto &each : sequence) {
        if (each.isDisturbed && !wasDisturbed) {
            ++result.episodes;
            slicesSinceStart = 0;
            isDetected = false;
        }
        if (!each.isDisturbed && wasDisturbed && !isDetected)
            ++result.missedEpisodes;
        wasDisturbed = each.isDisturbed;
        signal.add(each.lateCount);
        const bool raised = isRaised(signal);
        result.wrongSlices += raised != each.isDisturbed ? 1 : 0;
        result.raises += raised && !wasRaised ? 1 : 0;
        result.falseRaises += raised && !wasRaised && !each.isDisturbed ? 1 : 0;
        if (each.isDisturbed && raised && !isDetected) {
            isDetected = true;
            totalDelay += slicesSinceStart;
        }
        ++slicesSinceStart;
        wasRaised = raised;
    }
    result.meanDelay =
            static_cast<double>(totalDelay) / std::max(result.episodes - result.missedEpisodes, 1);
    return result;
}

average_signal tuneAverage(const std::vector<slice> &sequence)
{
    average_signal best;
    double lowestCost = 1e18;
    for (const std::size_t slices : {1, 2, 3, 4, 5, 6, 8}) {
        for (double rise = 2.5; rise <= 9; rise += 0.25) {
            for (double fall = 1.5; fall <= rise; fall += 0.25) {
                const average_signal candidate{{slices, rise, fall}, {}};
                const double cost = judge(candidate, sequence).cost();
                if (cost >= lowestCost)
                    continue;
                lowestCost = cost;
                best = candidate;
            }
        }
    }
    return best;
}

recency_signal tuneRecency(const std::vector<slice> &sequence)
{
    recency_signal best;
    double lowestCost = 1e18;
    for (const std::size_t slices : {2, 3, 4, 6, 8}) {
        for (double rise = 2.5; rise <= 9; rise += 0.25) {
            for (double fall = 1.5; fall <= rise; fall += 0.25) {
                for (const double margin : {0.0, 0.5, 1.0, 2.0}) {
                    const recency_signal candidate{slices, rise, fall, margin, {}, false};
                    const double cost = judge(candidate, sequence).cost();
                    if (cost >= lowestCost)
                        continue;
                    lowestCost = cost;
                    best = candidate;
                }
            }
        }
    }
    return best;
}

void print(const char *name, std::uint64_t seed, const score &result)
{
    fmt::print("{:18} {:5} {:7} {:7} {:7} {:9} {:7} {:7.2f} {:8.0f}\n", name, seed,
               result.wrongSlices, result.raises, result.falseRaises, result.episodes,
               result.missedEpisodes, result.meanDelay, result.cost());
}

void compare(double spikes)
{
    auto training = makeSequence(1, spikes);
    training.resize(8'000);
    const auto average = tuneAverage(training);
    const auto recency = tuneRecency(training);
    fmt::print("moving average: {} slices, rises above {}, falls below {}\n",
               average.settings.windowSamples, average.settings.riseAbove,
               average.settings.fallBelow);
    fmt::print("recency-weighted: {} slices, rises above {}, falls below {}, margin {}\n",
               recency.sliceLimit, recency.rise, recency.fall, recency.margin);
    fmt::print("{:18} {:>5} {:>7} {:>7} {:>7} {:>9} {:>7} {:>7} {:>8}\n", "signal", "seed", "wrong",
               "raises", "false", "episodes", "missed", "delay", "cost");
    for (const std::uint64_t seed : {2, 3, 4, 5, 6}) {
        const auto sequence = makeSequence(seed, spikes);
        print("moving average", seed, judge(average, sequence));
        print("recency-weighted", seed, judge(recency, sequence));
    }
}

} // namespace

int main()
{
    for (const double spikes : {0.02, 0.0}) {
        fmt::print("single spikes in {}% of the slices\n", spikes * 100);
        compare(spikes);
    }
    return 0;
}
