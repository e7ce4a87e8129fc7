// Estimates how much best-effort runs slow down serving runs on the same worker, from late and
// noisy measurements. A tail latency rises like that of a queue: slowly at first, then without
// bound. So it is converted to the load of such a queue, to which the neighbours' contributions add
// up:
//   load = 1 - floor / tail
//        = baseLoad(serving) + sum over best-effort images of loadPerCore(serving, image) x cores
// `floor` is the lowest tail latency measured for the serving image, less a tenth. `cores` counts
// the cores in use, not those requested: when ten runs share the cores that two of them request,
// each causes a fifth of the interference that it would cause alone. Tail latencies themselves are
// not added up: a single stalled sample would outweigh a hundred others, and interference would be
// attributed to harmless neighbours.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "jobs/least_squares.h"

namespace zinniabarrow::jobs {

// The change on a worker within half a second, for the runs of a serving image that were measured
// both times. Their own load changes slowly while neighbours come and go abruptly, so changes
// separate the neighbours' part of the load from the runs' own.
struct interference_change
{
    double inverseTailDrop = 0;                    // 1/ms: how far 1 / tail fell, mean of the runs
    std::map<std::string, double> bestEffortCores; // by image: change of the cores in use
    // Before or after the change, the load exceeded what a tail latency can show: it changed by at
    // least this much.
    bool isLowerBound = false;
};

// One measurement of a serving image on one worker.
struct interference_sample
{
    std::string image;
    std::int64_t tailLatencyMs = 0;
    std::int64_t latencyTargetMs = 0;
    std::map<std::string, double> bestEffortCores;  // by image: cores in use
    std::optional<interference_change> change = {}; // since half a second earlier
};

// What was learned of a serving image.
struct image_interference
{
    double floorMs = 0;                         // lowest tail latency less a tenth; 0: unknown
    std::map<std::string, double> loadsPerCore; // by best-effort image: load by each core in use
};
using interference_table = std::map<std::string, image_interference>; // by serving image

// The load that corresponds to a tail latency; from 0 to below 1.
double loadOf(double tailLatencyMs, double floorMs);

struct estimator_settings
{
    double priorLoadPerCore = 0.03; // for a pair never measured: half of the pairs are near 0,
                                    // the others between 0.03 and 0.07
    double priorDeviation = 0.04;
    double priorBaseLoad = 0.5;
    double baseLoadDeviation = 0.2;
    double levelNoise = 0.15;        // deviation of one sample; own load varies by half
    double changeNoise = 0.08;       // deviation of one change
    double forgettingFactor = 0.998; // a sample's weight fades within about 500 of its image
    std::size_t maxImages = 64;      // serving ones, and best-effort ones for each of them; all
                                     // others keep the prior
};

// Each entry's worker_pool has one, and sends its table to the agents, which throttle best-effort
// runs by it.
class interference_estimator
{
public:
    explicit interference_estimator(const estimator_settings &settings = {});

    // Called for each sample in the workers' reports.
    void learn(const interference_sample &sample);
    // The load that each core in use by runs of the best-effort image adds to runs of the serving
    // image.
    double loadPerCore(const std::string &servingImage, const std::string &bestEffortImage) const;
    // The load of the image without neighbours.
    double baseLoad(const std::string &servingImage) const;
    // The load at which the image's tail latency is at its target.
    double loadAtTarget(const std::string &servingImage) const;
    interference_table table() const; // all that was learned, for the agents

private:
    struct image_estimate
    {
        std::vector<std::string> bestEffortImages; // of coefficients 1 and up
        least_squares coefficients; // 0: base load; 1 and up: load per core of a best-effort image
        double baseLoad = 0;
        double floorMs = 0;
        double latencyTargetMs = 0;
    };

    image_estimate &estimateFor(const std::string &servingImage);
    static void updateFloorAndTarget(image_estimate &estimate, const interference_sample &sample);
    std::size_t findOrAddIndex(image_estimate &estimate, const std::string &bestEffortImage);
    std::vector<double> coresByIndex(image_estimate &estimate,
                                     const std::map<std::string, double> &bestEffortCores);
    // Learns from the load itself, when the sample has no change.
    void learnLevel(image_estimate &estimate, const interference_sample &sample);
    // Learns from the change of the load since the previous sample.
    void learnChange(image_estimate &estimate, const interference_sample &sample);
    void updateCoefficients(image_estimate &estimate, const std::vector<double> &inputs,
                            double load, double noise) const;

    estimator_settings m_settings;
    std::map<std::string, image_estimate> m_estimates;
};

} // namespace zinniabarrow::jobs
