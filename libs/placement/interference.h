// Interference: how much one class of tasks slows a class of services.
//
//   neighbour_history   who ran on a worker at a past moment
//   interference_model  an estimate, with its uncertainty, for each pair of classes
//
// The model is log(p99 / target) = baseline(service) + sum over neighbours of effect × part of the
// worker's processors that it was given. Parts, so that what was learned on a small worker holds on
// a large one. A sample arrives late; it is explained by the neighbours at the time when it was
// measured. Else the task that has just arrived would be blamed for what the one that has left did.
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

using class_number = std::uint16_t;

struct class_millicores
{
    class_number jobClass = 0;
    std::int64_t millicores = 0; // given to all tasks of the class
};

struct class_share
{
    class_number jobClass = 0;
    double share = 0; // of the worker's processors
};

// None while the worker's size is not known.
std::vector<class_share> sharesOf(std::span<const class_millicores> amounts,
                                  std::int64_t workerMillicores);

class neighbour_history
{
public:
    // `millicores` is negative when a task goes or is throttled.
    void addChange(class_number jobClass, std::int64_t millicores, time_point at);
    const std::vector<class_millicores> &current() const { return m_current; }
    // Absent when the moment lies before what is kept: the sample has to be dropped.
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
    time_point m_knownFrom;              // moments before it cannot be answered
};

struct interference_settings
{
    bool learn = true;                 // false: every pair keeps the prior
    double priorEffect = 0.3;          // log slowdown by a whole worker of a class never seen
    double priorDeviation = 0.8;       // of the effect
    double baselineMean = -0.5;        // log(p99 / target) when alone, before any sample
    double baselineDeviation = 0.5;    //
    double sampleDeviation = 0.15;     // deviation of one sample
    double effectDriftPerHour = 0.3;   // deviation that an effect gains in an hour: effects shift
    double baselineDriftPerHour = 0.1; // the same of a baseline: load shifts faster
    std::size_t maxNeighbours = 32;    // classes kept for each service class
    std::size_t maxServices = 256;     // service classes kept; others keep the prior
};

struct effect_estimate
{
    double mean = 0;      // log slowdown by a whole worker of the neighbour
    double deviation = 0; // standard deviation of the mean
};

class interference_model
{
public:
    explicit interference_model(const interference_settings &settings);

    // `logRatio`: log(p99 / target) that was measured beside `neighbours`.
    void learn(class_number service, std::span<const class_share> neighbours, double logRatio,
               time_point measuredAt);
    // A pair never seen borrows from the means of both classes.
    effect_estimate effect(class_number service, class_number neighbour) const;
    double baseline(class_number service) const;
    // Expected log(p99 / target).
    double expectedLogRatio(class_number service, std::span<const class_share> neighbours) const;

private:
    // What is believed of one service class: its baseline and the effects of its neighbours,
    // jointly. Each alone would not do. Beside a steady neighbour, baseline and effect cannot be
    // told apart; when the neighbour then goes, only their covariance says that one was too high
    // because the other was too low.
    struct service_estimate
    {
        std::vector<class_number> neighbours; // of index 1 and up; index 0 is the baseline
        std::vector<time_point> lastSeenAt;   // of each neighbour
        std::vector<double> means;            //
        std::vector<double> covariance;       // rows of maxNeighbours + 1
        time_point updatedAt;                 //
        double effectSum = 0;                 // of the means of the neighbours
    };
    struct class_mean
    {
        double sum = 0; // of the means of its pairs
        int pairs = 0;
    };
    // Amounts by index of the belief.
    struct regressor
    {
        std::size_t index = 0;
        double coefficient = 0;
    };

    service_estimate *findOrAddEstimate(class_number service, time_point at);
    std::size_t findOrAddIndex(service_estimate &estimate, class_number neighbour, time_point at);
    void assignIndex(service_estimate &estimate, std::size_t index, class_number neighbour);
    void addDrift(service_estimate &estimate, time_point at) const;
    void update(service_estimate &estimate, const std::vector<regressor> &amounts, double residual);
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
