// Compares two signals that a service is disturbed: a plain moving average, and the
// recency-weighted count over time slices with thresholds for rising and falling counts ("Adaptive
// fault tolerance by switching between replication and erasure codes", formula 1 and Table 2). Both
// get the same seeded sequences of late requests per slice.
//
// Each signal is tuned on one sequence and evaluated on others. Columns of the table: "wrong"
// counts the slices in which the signal differs from the simulated state, "raises" how often the
// signal was raised; each time triggers an action that costs batch work.
#include <algorithm>
#include <cmath>
#include <deque>
#include <vector>

#include <fmt/core.h>

#include "base/random.h"
#include "placement/latency_signal.h"

namespace {

using zinniabarrow::drawIndex;
using zinniabarrow::drawUniform;
using zinniabarrow::random_generator;
using zinniabarrow::placement::latency_signal;
using zinniabarrow::placement::latency_signal_settings;

constexpr int SliceCount = 50'000;
constexpr double RaiseCost = 3; // one raise counts as this many wrong slices

struct slice
{
    double lateCount = 0; // late requests in the slice
    bool isDisturbed = false;
};

// Alternates between calm phases and disturbances of 8 to 60 slices, weak or strong. `spikes` is
// the probability of a single spike per slice.
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

// Formula 1: the newest slice has weight 1/2, the one before 1/4, and so on, over `sliceLimit`
// slices. Table 2: the signal is raised only while the count rises. It is cleared below
// `fallThreshold` when the count falls, and only `margin` further below otherwise.
struct recency_signal
{
    std::size_t sliceLimit = 8;
    double riseThreshold = 5;
    double fallThreshold = 3;
    double margin = 1;
    std::deque<double> counts;
    bool isActive = false;

    void add(double count)
    {
        const double change = counts.empty() ? 0 : count - counts.back();
        counts.push_back(count);
        if (counts.size() > sliceLimit)
            counts.pop_front();
        double weightedSum = 0;
        double weight = 0.5;
        for (auto current = counts.rbegin(); current != counts.rend(); ++current, weight /= 2)
            weightedSum += *current * weight;
        if (!isActive && change > 0 && weightedSum > riseThreshold)
            isActive = true;
        else if (isActive && weightedSum < (change < 0 ? fallThreshold : fallThreshold - margin))
            isActive = false;
    }
};

struct average_signal
{
    latency_signal_settings settings;
    latency_signal signal;

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
    int wrongSlices = 0;
    int raises = 0;
    int falseRaises = 0;    // raises while calm
    int episodes = 0;       // disturbances
    int missedEpisodes = 0; // disturbances without a raised signal
    double meanDelay = 0;   // slices until the signal is raised, over the detected disturbances

    double cost() const { return wrongSlices + RaiseCost * raises; }
};

template <typename Signal>
score evaluateSignal(Signal signal, const std::vector<slice> &sequence)
{
    score result;
    int slicesSinceStart = 0;
    int totalDelay = 0;
    bool isDetected = true;
    bool wasRaised = false;
    bool wasDisturbed = false;
    for (const auto &current : sequence) {
        if (current.isDisturbed && !wasDisturbed) {
            ++result.episodes;
            slicesSinceStart = 0;
            isDetected = false;
        }
        if (!current.isDisturbed && wasDisturbed && !isDetected)
            ++result.missedEpisodes;
        wasDisturbed = current.isDisturbed;
        signal.add(current.lateCount);
        const bool raised = isRaised(signal);
        result.wrongSlices += raised != current.isDisturbed ? 1 : 0;
        result.raises += raised && !wasRaised ? 1 : 0;
        result.falseRaises += raised && !wasRaised && !current.isDisturbed ? 1 : 0;
        if (current.isDisturbed && raised && !isDetected) {
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
                const double cost = evaluateSignal(candidate, sequence).cost();
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
                    const double cost = evaluateSignal(candidate, sequence).cost();
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
               recency.sliceLimit, recency.riseThreshold, recency.fallThreshold, recency.margin);
    fmt::print("{:18} {:>5} {:>7} {:>7} {:>7} {:>9} {:>7} {:>7} {:>8}\n", "signal", "seed", "wrong",
               "raises", "false", "episodes", "missed", "delay", "cost");
    for (const std::uint64_t seed : {2, 3, 4, 5, 6}) {
        const auto sequence = makeSequence(seed, spikes);
        print("moving average", seed, evaluateSignal(average, sequence));
        print("recency-weighted", seed, evaluateSignal(recency, sequence));
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
