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
struct disturbance_change
{
    double inverseFall = 0;              // 1/ms: how far 1 / tail fell, mean of the runs
    std::map<std::string, double> fills; // by image: cores more in use
    // The load went beyond what a tail can tell, or came from there: it changed by no less.
    bool atLeast = false;
};

// One measurement of a serving image on one worker.
struct disturbance_sample
{
    std::string image;
    std::int64_t tailMs = 0;
    std::int64_t targetMs = 0;
    std::map<std::string, double> fills;           // by image: cores in use
    std::optional<disturbance_change> change = {}; // since half a second before
};

struct image_presses
{
    double floorMs = 0;                    // the lowest tail, less a tenth; 0: never measured
    std::map<std::string, double> presses; // load for each core in use by that image
};
using press_table = std::map<std::string, image_presses>; // by serving image

// The load that a tail stands for, 0 to below 1.
double loadOf(double tailMs, double floorMs);

struct disturbance_settings
{
    double priorPress = 0.03; // of a pair never seen: half of the pairs are near 0, the others
                              // between 0.03 and 0.07
    double priorDeviation = 0.04;
    double priorBase = 0.5;
    double baseDeviation = 0.2;
    double noise = 0.15;         // deviation of one sample: own load swings by half
    double changeNoise = 0.08;   // deviation of one change
    double forget = 0.998;       // a sample's weight fades within about 500 of its image
    std::size_t mostImages = 64; // of each kind; others keep the prior
};

class disturbance_model
{
public:
    explicit disturbance_model(const disturbance_settings &settings = {});

    void learn(const disturbance_sample &sample);
    double press(const std::string &serving, const std::string &filling) const;
    double base(const std::string &serving) const;
    // The load at which the image is at its target.
    double limit(const std::string &serving) const;
    press_table table() const;

private:
    struct belief
    {
        std::vector<std::string> names; // of index 1 and up; index 0 is the base
        least_squares loads;            // base, and press of each image seen beside this one
        double base = 0;
        double floorMs = 0;
        double targetMs = 0;
    };

    belief &beliefOf(const std::string &serving);
    static void noteFloor(belief &about, const disturbance_sample &sample);
    std::size_t indexOf(belief &about, const std::string &filling);
    std::vector<double> amountsOf(belief &about, const std::map<std::string, double> &fills);
    void learnLevel(belief &about, const disturbance_sample &sample);
    void learnChange(belief &about, const disturbance_sample &sample);
    void correct(belief &about, const std::vector<double> &amounts, double load,
                 double noise) const;

    disturbance_settings m_settings;
    std::map<std::string, belief> m_beliefs;
};

} // namespace zinniabarrow::jobs
