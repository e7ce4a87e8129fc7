// Interference: by how much one class of tasks slows a class of services.
//
//   neighbour_history   the task classes that ran on a worker at a past moment
//   interference_model  the estimated effect, with its uncertainty, for each pair of classes
//
// The model is log(p99 / target) = baseline(service) + sum over neighbours of effect × share of the
// worker's processors given to that neighbour. Shares are used so that what was learned on a small
// worker applies to a large one. Latency samples arrive with a delay and are attributed to the
// neighbours at the time of the measurement. Otherwise a task that has just started would be blamed
// for the effect of one that has already left.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "base/time.h"

namespace zinniabarrow::placement {

using class_number = std::uint16_t; // of a job class, see scheduler::classNumber()

struct class_millicores
{
    class_number jobClass = 0;
    std::int64_t millicores = 0; // reserved by all tasks of the class, less what throttling takes
};

struct class_share
{
    class_number jobClass = 0;
    double share = 0; // fraction of the worker's processors, 0 to 1
};

// Returns no shares while the worker's size is unknown.
std::vector<class_share> sharesOf(std::span<const class_millicores> amounts,
                                  std::int64_t workerMillicores);

class neighbour_history
{
public:
    // Adds `millicores` to the amount of the class; negative when a task leaves or is throttled.
    void addChange(class_number jobClass, std::int64_t millicores, time_point at);
    const std::vector<class_millicores> &current() const { return m_current; }
    // The amounts at `moment`; no value if the history does not reach back that far; the
    // scheduler then drops the sample.
    std::optional<std::vector<class_millicores>> at(time_point moment) const;

private:
    static constexpr std::size_t MaxChanges = 64;

    struct change_record
    {
        time_point at;
        class_millicores amount;
    };

    std::vector<class_millicores> m_current;
    std::deque<change_record> m_changes; // oldest first
    time_point m_knownFrom;              // the history is incomplete before it
};

struct interference_settings
{
    bool learn = true;               // false: every pair keeps the prior
    double priorEffect = 0.3;        // log slowdown by an unknown class that uses a whole worker
    double priorDeviation = 0.8;     // standard deviation of priorEffect
    double baselineMean = -0.5;      // log(p99 / target) without neighbours, before any sample
    double baselineDeviation = 0.5;  // standard deviation of baselineMean
    double sampleDeviation = 0.15;   // standard deviation of the noise of one sample
    double effectDriftPerHour = 0.3; // standard deviation gained per hour: effects change over time
    double baselineDriftPerHour = 0.1; // the same for a baseline, which changes with the load
    std::size_t maxNeighbours = 32;    // neighbour classes kept per service class
    std::size_t maxServices = 256;     // service classes kept; others keep the prior
};

struct effect_estimate
{
    double mean = 0;      // log slowdown if the neighbour used a whole worker
    double deviation = 0; // standard deviation of the mean
};

class interference_model
{
public:
    explicit interference_model(const interference_settings &settings);

    // Updates the estimates with one sample; `logRatio` is log(p99 / target), measured beside
    // `neighbours`.
    void learn(class_number service, std::span<const class_share> neighbours, double logRatio,
               time_point measuredAt);
    // For an unknown pair, the mean is derived from the known pairs of both classes.
    effect_estimate effect(class_number service, class_number neighbour) const;
    double baseline(class_number service) const;
    // Expected log(p99 / target).
    double expectedLogRatio(class_number service, std::span<const class_share> neighbours) const;

private:
    // Joint estimate for one service class: its baseline and the effects of its neighbours.
    // Separate estimates are not sufficient: beside a constant neighbour, baseline and effect
    // cannot be distinguished. When that neighbour leaves, only the covariance tells that one was
    // too high because the other was too low.
    struct service_estimate
    {
        std::vector<class_number> neighbours; // element i is the class of means[i + 1]
        std::vector<time_point> lastSeenAt;   // last sample with each neighbour
        std::vector<double> means;            // means[0] is the baseline, the others are effects
        std::vector<double> covariance;       // rows of maxNeighbours + 1
        time_point updatedAt;
        double effectSum = 0; // sum of the neighbours' means
    };
    struct class_mean
    {
        double sum = 0; // sum of the means of its pairs
        int pairs = 0;
    };
    // One non-zero entry of a sample's regressor vector.
    struct regressor
    {
        std::size_t index = 0;
        double coefficient = 0;
    };

    service_estimate *findOrAddEstimate(class_number service, time_point at);
    std::size_t findOrAddIndex(service_estimate &estimate, class_number neighbour, time_point at);
    void assignIndex(service_estimate &estimate, std::size_t index, class_number neighbour);
    void addDrift(service_estimate &estimate, time_point at) const;
    void update(service_estimate &estimate, const std::vector<regressor> &regressors,
                double residual);
    void setMean(service_estimate &estimate, std::size_t index, double mean);
    double &covarianceAt(service_estimate &estimate, std::size_t row, std::size_t column) const
    {
        return estimate.covariance[row * (m_settings.maxNeighbours + 1) + column];
    }
    static std::size_t findIndex(const service_estimate &estimate, class_number neighbour);

    interference_settings m_settings;
    std::unordered_map<class_number, service_estimate> m_estimates;
    std::unordered_map<class_number, class_mean> m_neighbourMeans;
};

} // namespace zinniabarrow::placement
