// Estimates how much best-effort runs slow down serving runs on the same worker, from late and
// noisy measurements. A tail latency rises like that of a queue: slowly at first, then without
// bound. So it is converted to the load of such a queue, to which the neighbours' contributions add
// up:
//   load = 1 - floor / tail
//        = baseLoad(serving) + sum over best-effort images of loadPerCore(serving, image) x cores
// `floor` is 0.9 times the lowest tail latency measured for the serving image. `cores` counts
// the cores in use, averaged over the time that the tail latency reflects, not those requested:
// when ten runs share the cores that two of them request, each causes a fifth of the interference
// that it would cause alone. Tail latencies themselves are not added up: a single stalled sample
// would outweigh a hundred others, and interference would be attributed to harmless neighbours.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "jobs/least_squares.h"

namespace zinniabarrow::jobs {

// Cores in use by the best-effort runs of each image.
using cores_by_image = std::map<std::string, double>;

// How the load of a serving image's runs on one worker changed between two measurements, half a
// second apart. Only runs that were measured both times count. Their own load changes slowly while
// neighbours come and go abruptly, so changes separate the neighbours' part of the load from the
// runs' own.
struct interference_change
{
    double inverseTailDrop = 0; // 1/ms: how far 1 / tail fell, mean of the runs
    // Change of the cores that the tail latency reflects; for a lower bound, of all cores in use.
    cores_by_image bestEffortCores;
    // Before or after the change, a queue was growing, and its tail latency no longer shows the
    // load: the load changed by at least this much.
    bool isLowerBound = false;
};

// One measurement of a serving image on one worker, of its run with the longest tail latency there.
struct interference_sample
{
    std::string image;
    std::int64_t tailLatencyMs = 0;
    std::int64_t latencyTargetMs = 0;
    cores_by_image bestEffortCores;                 // that the tail latency reflects
    std::optional<interference_change> change = {}; // since half a second earlier, if measured then
};

// What was learned of a serving image.
struct image_interference
{
    double floorMs = 0;                         // see the head of this file; 0: unknown
    std::map<std::string, double> loadsPerCore; // by best-effort image: load by each core in use
};
using interference_table = std::map<std::string, image_interference>; // by serving image

// The load that corresponds to a tail latency; from 0 to below 1.
double loadOf(double tailLatencyMs, double floorMs);

// Means and standard deviations are in units of load.
struct estimator_settings
{
    // For a serving and a best-effort image never measured together. Half of all such pairs are
    // near 0, the others between 0.03 and 0.07.
    double priorLoadPerCore = 0.03;
    double priorDeviation = 0.04;
    double priorBaseLoad = 0.5;
    double baseLoadDeviation = 0.2;
    double levelNoise = 0.15;  // of one sample's load; a serving run's own load varies by half
    double changeNoise = 0.08; // of one change of the load
    // The weight of earlier samples is multiplied by this with each sample of the same serving
    // image, so that about the last 500 count.
    double forgettingFactor = 0.998;
    // Limit of the serving images, and of the best-effort images for each of them. All others keep
    // the prior.
    std::size_t maxImages = 64;
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
    // image; the prior if never measured.
    double loadPerCore(const std::string &servingImage, const std::string &bestEffortImage) const;
    // The load of the image without neighbours; the prior if never measured.
    double baseLoad(const std::string &servingImage) const;
    // The load at which the image's tail latency is at its target; 0.8 if never measured.
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
                                     const cores_by_image &bestEffortCores);
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
