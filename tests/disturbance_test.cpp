// What is learned of runs that fill beside runs that serve.
#include <cmath>
#include <random>

#include <criterion/criterion.h>

#include "jobs/interference_estimator.h"
#include "jobs/throttle_controller.h"
#include "section.h"

using namespace zinniabarrow;
using namespace zinniabarrow::jobs;
using zinniabarrow::tests::section;

namespace {

constexpr double FloorMs = 25;
constexpr double LongestTailMs = 2200; // that workers were seen to measure
constexpr double Heavy = 0.06; // load for each core; the other half of the pairs is harmless
constexpr int Fills = 9;       // images

std::string fillName(int number)
{
    return "fill-" + std::to_string(number);
}

bool isHeavy(int number)
{
    return number % 2 == 0;
}

// The load of a serving run beside what fills.
double withPresses(double load, const std::map<std::string, double> &fills)
{
    for (const auto &[image, cores] : fills)
        load += (isHeavy(std::stoi(image.substr(5))) ? Heavy : 0) * cores;
    return load;
}

// One worker with a serving image beside runs that come and go, measured each half second.
class measured_worker
{
public:
    // Neighbours change each `stay` samples; one image in `rare` is there at a time.
    explicit measured_worker(unsigned seed, int stay = 4, int rare = 4)
        : m_random(seed)
        , m_stay(stay)
        , m_rare(rare)
    { }

    disturbance_sample next()
    {
        ++m_turn;
        if (m_turn % m_stay == 0)
            changeNeighbours();
        // Its own load swings by half within 20 s.
        double load = 0.4 * (1 + 0.5 * std::sin(m_turn / 40.0 * 2 * M_PI));
        load = withPresses(load, m_fills);
        std::normal_distribution<double> noise(0, 0.03);
        load += noise(m_random);
        const double tail = load >= 0.98 ? LongestTailMs : FloorMs / (1 - std::max(0.0, load));
        return {"serving", static_cast<std::int64_t>(tail), 150, m_fills};
    }

private:
    void changeNeighbours()
    {
        m_fills.clear();
        for (int number = 0; number < Fills; ++number) {
            if (m_random() % static_cast<unsigned>(m_rare) == 0)
                m_fills[fillName(number)] = 1 + static_cast<double>(m_random() % 50) / 10;
        }
    }

    std::mt19937 m_random;
    int m_stay;
    int m_rare;
    int m_turn = 0;
    std::map<std::string, double> m_fills;
};

} // namespace

// Callers of a service get late answers for seconds, since runs that harm it are placed beside it,
// or harmless ones are kept away: what was learned of the pairs had grown without bound within
// seconds, because a belief that was cut down to its widest deviation was no belief any more (its
// covariance was not one), and each further sample pushed it further off.
Test(disturbance, learns_which_pairs_harm)
{
    for (unsigned seed = 1; seed <= 20; ++seed) {
        section("seed " + std::to_string(seed), [&] {
            disturbance_model model;
            measured_worker busy(seed, 4, 4);
            measured_worker calm(seed + 100, 8, 12);
            for (int turn = 0; turn < 400; ++turn) {
                model.learn(turn % 2 == 0 ? busy.next() : calm.next());
                for (int number = 0; number < Fills; ++number)
                    require(model.press("serving", fillName(number)) < 5 * Heavy);
                require(model.base("serving") >= 0 && model.base("serving") <= 1);
            }
            double heavy = 0;
            double harmless = 0;
            for (int number = 0; number < Fills; ++number)
                (isHeavy(number) ? heavy : harmless) += model.press("serving", fillName(number));
            check(heavy / 5 > 0.6 * Heavy && heavy / 5 < 1.6 * Heavy);
            check(harmless / 4 < 0.4 * Heavy);
        });
    }
}

// The same, in the first seconds of a service: one neighbour at a steady pace, on several workers
// at a time, then none, then others.
Test(disturbance, stays_sound_from_the_first_samples_on)
{
    for (const double cores : {0.5, 1.0, 2.0, 3.2, 5.0, 10.0}) {
        section(std::to_string(cores) + " cores", [&] {
            disturbance_model model;
            for (int turn = 0; turn < 300; ++turn) {
                const int phase = turn / 25;
                const std::int64_t tail = 40 + turn * 7 % 40;
                std::map<std::string, double> fills;
                if (phase % 2 == 0)
                    fills[fillName(phase % Fills)] = cores;
                model.learn({"serving", tail, 150, fills});
                require(model.base("serving") >= 0 && model.base("serving") <= 1);
                for (int number = 0; number < Fills; ++number)
                    require(model.press("serving", fillName(number)) <= 0.5);
            }
        });
    }
}

Test(disturbance, a_pair_never_seen_keeps_the_prior)
{
    disturbance_model model;
    check(model.press("serving", "fill-0") == disturbance_settings().priorPress);
    measured_worker worker(1);
    model.learn(worker.next());
    check(model.press("serving", "never") == disturbance_settings().priorPress);
}

// A tail that is longer than can be measured says that the load is at least so high: it must not
// teach that runs, which together are far more than enough, press less than they do.
Test(disturbance, a_tail_without_bound_teaches_no_less)
{
    disturbance_model model;
    measured_worker worker(3);
    for (int turn = 0; turn < 400; ++turn)
        model.learn(worker.next());
    const double before = model.press("serving", fillName(0));
    for (int turn = 0; turn < 50; ++turn)
        model.learn({"serving", 2200, 150, {{fillName(0), 40.0}}});
    check(model.press("serving", fillName(0)) > 0.8 * before);
}

namespace {

// One worker whose scheduler places what fills while the users' load is low, as it should: then the
// level of the load says the opposite of the truth, runs that harm are seen beside low loads.
class well_placed_worker
{
public:
    explicit well_placed_worker(unsigned seed)
        : m_random(seed)
        , m_phase(static_cast<double>(seed % 20))
    { }

    disturbance_sample next()
    {
        ++m_turn;
        const double own = 0.42 * (1 + 0.5 * std::sin((m_turn + m_phase) / 20 * 2 * M_PI));
        const auto before = m_fills;
        if (m_turn % 3 == 0) {
            m_fills.clear();
            if (own < 0.42)
                m_fills[fillName(static_cast<int>(m_random() % Fills))] = 3.5;
        }
        double load = own;
        load = withPresses(load, m_fills);
        std::normal_distribution<double> noise(0, 0.02);
        const double tail = FloorMs / (1 - std::min(0.97, load + noise(m_random)));
        disturbance_sample sample{"serving", static_cast<std::int64_t>(tail), 150, m_fills};
        if (m_tail > 0) {
            disturbance_change change{1 / m_tail - 1 / tail, m_fills};
            for (const auto &[image, cores] : before)
                change.fills[image] -= cores;
            sample.change = change;
        }
        m_tail = tail;
        return sample;
    }

private:
    std::mt19937 m_random;
    double m_phase;
    int m_turn = 0;
    double m_tail = 0;
    std::map<std::string, double> m_fills;
};

} // namespace

// Users of a service are late now and then for as long as it runs: batch runs that harm it are
// placed beside it while it is quiet, so by the level of its load they look harmless and come
// again.
Test(disturbance, runs_that_come_when_the_load_is_low)
{
    for (unsigned seed = 1; seed <= 10; ++seed) {
        section("seed " + std::to_string(seed), [&] {
            disturbance_model model;
            std::vector<well_placed_worker> workers;
            for (unsigned worker = 0; worker < 4; ++worker)
                workers.emplace_back(10 * seed + worker);
            for (int turn = 0; turn < 100; ++turn) { // 50 s
                for (auto &worker : workers)
                    model.learn(worker.next());
            }
            double heavy = 0;
            double harmless = 0;
            for (int number = 0; number < Fills; ++number)
                (isHeavy(number) ? heavy : harmless) += model.press("serving", fillName(number));
            check(heavy / 5 > 0.7 * Heavy && heavy / 5 < 1.4 * Heavy);
            check(harmless / 4 < 0.25 * Heavy);
        });
    }
}

namespace {

// One worker as its agent measures it. Runs of one job come together, twelve cores at a time, while
// the users' load is low; those that harm are more than the serving run bears at any time.
class overrun_worker
{
public:
    explicit overrun_worker(unsigned seed)
        : m_random(seed)
        , m_phase(static_cast<double>(seed % 20))
        , m_next(static_cast<int>(seed % Fills))
    { }

    std::vector<disturbance_sample> next()
    {
        constexpr double Cores = 12;
        ++m_turn;
        const double own = 0.48 * (1 + 0.5 * std::sin((m_turn + m_phase) / 20 * 2 * M_PI));
        if (m_turn % 4 == 0) {
            m_fills.clear();
            if (own < 0.48)
                m_fills[fillName(m_next++ % Fills)] = Cores;
        }
        const serving_sample serving{{"site", 0, 0, 0}, 1, "serving", tailAt(own), TargetMs};
        std::vector<filling_run> filling;
        for (const auto &[image, cores] : m_fills)
            filling.push_back({{image, 0, 0, 0}, 1, image, cores, cores});
        return m_pacer.takeSamples({serving}, filling);
    }

private:
    std::int64_t tailAt(double own)
    {
        std::normal_distribution<double> noise(0, 0.02);
        std::uniform_int_distribution<std::int64_t> queueing(1000, 2200);
        const double load = withPresses(own, m_fills) + noise(m_random);
        return load >= 0.98 ? queueing(m_random) : static_cast<std::int64_t>(FloorMs / (1 - load));
    }

    static constexpr std::int64_t TargetMs = 150;

    std::mt19937 m_random;
    double m_phase;
    int m_next; // image that comes next
    int m_turn = 0;
    pacer m_pacer;
    std::map<std::string, double> m_fills;
};

} // namespace

// Users of one service are late over and over beside the runs that harm it most: these take its
// tail beyond what can be measured at once, and what says no more than that was left out.
Test(disturbance, what_harms_beyond_measure_is_learned)
{
    for (unsigned seed = 1; seed <= 20; ++seed) {
        section("seed " + std::to_string(seed), [&] {
            disturbance_model model;
            std::vector<overrun_worker> workers;
            for (unsigned worker = 0; worker < 4; ++worker)
                workers.emplace_back(10 * seed + worker);
            for (int turn = 0; turn < 60; ++turn) { // 30 s
                for (auto &worker : workers) {
                    for (const auto &sample : worker.next())
                        model.learn(sample);
                }
            }
            double heavy = 0;
            double harmless = 0;
            for (int number = 0; number < Fills; ++number)
                (isHeavy(number) ? heavy : harmless) += model.press("serving", fillName(number));
            check(heavy / 5 > 0.85 * Heavy && heavy / 5 < 1.2 * Heavy);
            check(harmless / 4 < 0.25 * Heavy);
        });
    }
}
