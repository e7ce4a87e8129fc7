// How much runs that fill slow down runs that serve beside them, learned from late and noisy
// measurements. A tail latency rises like that of a queue: slowly at first, then without bound. So
// it is turned into the load of such a queue, where neighbours add up:
//   load = 1 - floor / tail = base(serving) + sum over runs that fill of press(serving, filling) x
//   cores
// with the floor as the lowest tail seen of the image and the cores that the runs have in use: of
// ten runs that share the cores of two, each does a fifth of the harm. Sums of tails themselves
// were tried on the same measurements: one stalled sample outweighs a hundred others, and harmless
// neighbours are blamed.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "jobs/least_squares.h"

namespace zinniabarrow::jobs {

// What changed on a worker within half a second, for the runs of a serving image that were measured
// both times. Their own load changes slowly while neighbours come and go at once, so that changes
// tell the neighbours' part from the runs' own.
struct interference_change
{
    double inverseTailDrop = 0;                    // 1/ms: how far 1 / tail fell, mean of the runs
    std::map<std::string, double> bestEffortCores; // by image: cores more in use
    // The load went beyond what a tail can tell, or came from there: it changed by no less.
    bool isLowerBound = false;
};

// One measurement of a serving image on one worker.
struct interference_sample
{
    std::string image;
    std::int64_t tailLatencyMs = 0;
    std::int64_t latencyTargetMs = 0;
    std::map<std::string, double> bestEffortCores;  // by image: cores in use
    std::optional<interference_change> change = {}; // since half a second before
};

struct image_interference
{
    double floorMs = 0;                         // the lowest tail, less a tenth; 0: never measured
    std::map<std::string, double> loadsPerCore; // load for each core in use by that image
};
using interference_table = std::map<std::string, image_interference>; // by serving image

// The load that a tail stands for, 0 to below 1.
double loadOf(double tailLatencyMs, double floorMs);

struct estimator_settings
{
    double priorLoadPerCore = 0.03; // of a pair never seen: half of the pairs are near 0, the
                                    // others between 0.03 and 0.07
    double priorDeviation = 0.04;
    double priorBaseLoad = 0.5;
    double baseLoadDeviation = 0.2;
    double levelNoise = 0.15;        // deviation of one sample: own load swings by half
    double changeNoise = 0.08;       // deviation of one change
    double forgettingFactor = 0.998; // a sample's weight fades within about 500 of its image
    std::size_t maxImages = 64;      // of each kind; others keep the prior
};

class interference_estimator
{
public:
    explicit interference_estimator(const estimator_settings &settings = {});

    void learn(const interference_sample &sample);
    double loadPerCore(const std::string &serving, const std::string &bestEffort) const;
    double baseLoad(const std::string &serving) const;
    // The load at which the image is at its target.
    double loadAtTarget(const std::string &serving) const;
    interference_table table() const;

private:
    struct image_estimate
    {
        std::vector<std::string> bestEffortImages; // of index 1 and up; index 0 is the base
        least_squares coefficients; // base, and press of each image seen beside this one
        double baseLoad = 0;
        double floorMs = 0;
        double latencyTargetMs = 0;
    };

    image_estimate &estimateFor(const std::string &serving);
    static void updateFloor(image_estimate &estimate, const interference_sample &sample);
    std::size_t indexOf(image_estimate &estimate, const std::string &bestEffort);
    std::vector<double> coresByIndex(image_estimate &estimate,
                                     const std::map<std::string, double> &bestEffortCores);
    void learnLevel(image_estimate &estimate, const interference_sample &sample);
    void learnChange(image_estimate &estimate, const interference_sample &sample);
    void correct(image_estimate &estimate, const std::vector<double> &inputs, double load,
                 double noise) const;

    estimator_settings m_settings;
    std::map<std::string, image_estimate> m_estimates;
};

} // namespace zinniabarrow::jobs
