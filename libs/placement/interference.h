// Interference: how much one class of tasks slows a class of services.
//
//   neighbour_history   who ran on a worker at a past moment
//   interference_model  an estimate, with its uncertainty, for each pair of classes
//
// The model is log(p99 / target) = baseline(service) + sum over neighbours of effect × processors.
// A sample arrives late; it is explained by the neighbours at the time when it was measured. Else
// the task that has just arrived would be blamed for what the one that has left did.
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

struct class_amount
{
    class_number jobClass = 0;
    double processors = 0; // given to all tasks of the class
};

class neighbour_history
{
public:
    // `processors` is negative when a task goes or is throttled.
    void change(class_number jobClass, double processors, time_point at);
    const std::vector<class_amount> &current() const { return m_current; }
    // Absent when the moment lies before what is kept: the sample has to be dropped.
    std::optional<std::vector<class_amount>> at(time_point moment) const;

private:
    static constexpr std::size_t MostChanges = 64;

    struct change_record
    {
        time_point at;
        class_amount amount;
    };

    std::vector<class_amount> m_current;
    std::deque<change_record> m_changes; // oldest first
    time_point m_knownFrom;              // moments before it cannot be answered
};

struct interference_settings
{
    bool learn = true;              // false: every pair keeps the prior
    double priorEffect = 0.02;      // log slowdown for each processor, of a pair never seen
    double priorDeviation = 0.04;   // of the effect
    double baselineMean = -0.5;     // log of p99 over target when alone, before any sample
    double baselineDeviation = 0.5; //
    double noise = 0.15;            // deviation of one sample
    double driftPerHour = 0.02;     // growth of each deviation: effects shift
    std::size_t maxPairs = 16384;   // pairs kept; beyond it new pairs borrow only
};

struct effect_estimate
{
    double mean = 0;      // log slowdown for each processor
    double deviation = 0; // standard deviation of the mean
};

class interference_model
{
public:
    explicit interference_model(const interference_settings &settings);

    // `logRatio`: log(p99 / target) that was measured beside `neighbours`.
    void learn(class_number service, std::span<const class_amount> neighbours, double logRatio,
               time_point measuredAt);
    // A pair never seen borrows from the means of both classes.
    effect_estimate effect(class_number service, class_number neighbour) const;
    double baseline(class_number service) const;
    // Expected log(p99 / target).
    double expected(class_number service, std::span<const class_amount> neighbours) const;
    std::size_t pairs() const { return m_pairs.size(); }

private:
    struct belief
    {
        double mean = 0;
        double variance = 0;
        time_point updatedAt;
    };
    struct class_mean
    {
        double sum = 0; // of the means of its pairs
        int pairs = 0;
    };

    static std::uint32_t keyOf(class_number service, class_number neighbour);
    belief &pairBelief(class_number service, class_number neighbour, time_point at);
    belief &baselineBelief(class_number service, time_point at);
    void drift(belief &pair, time_point at) const;
    void correct(belief &entry, double weight, double gain, double residual) const;

    interference_settings m_settings;
    std::unordered_map<std::uint32_t, belief> m_pairs;
    std::unordered_map<class_number, belief> m_baselines;
    std::unordered_map<class_number, class_mean> m_byService;
    std::unordered_map<class_number, class_mean> m_byNeighbour;
};

} // namespace zinniabarrow::placement
