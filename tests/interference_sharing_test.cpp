// Tests how interference is shared between serving jobs with few and with many tasks. Simulates a
// minute in which best-effort runs go to the workers that the pool chooses.
#include <array>
#include <map>
#include <numeric>
#include <random>
#include <string>
#include <vector>

#include <criterion/criterion.h>
#include <fmt/core.h>

#include "trained_pool.h"

using namespace zinniabarrow;
using namespace zinniabarrow::jobs;
using namespace zinniabarrow::tests;

namespace {

constexpr int WorkerCount = 24;
constexpr std::array<int, 10> TaskCounts{2, 3, 4, 4, 6, 6, 8, 10, 16, 24};

struct placed_run
{
    std::string worker;
    time_point endsAt{};
};

class interference_simulation
{
public:
    explicit interference_simulation(unsigned seed)
        : m_random(seed)
    {
        trainInterference(m_pool, "site", "heavy", LoadPerCore, 400);
        for (std::size_t job = 0; job < TaskCounts.size(); ++job) {
            for (int task = 0; task < TaskCounts[job]; ++task)
                m_workers[workerNamed(randomBelow(WorkerCount))].push_back(
                        {"site", 0, fmt::format("job-{}", job)});
        }
    }

    void advance(seconds time)
    {
        constexpr milliseconds Step{250};
        for (const auto until = m_now + time; m_now < until; m_now += Step) {
            std::erase_if(m_placedRuns, [&](const auto &run) { return run.endsAt <= m_now; });
            for (int number = 0; number < WorkerCount; ++number)
                sendReport(workerNamed(number));
            placeRuns();
            recordServedFractions();
        }
    }

    // How well callers of the job were served, 0 to 1; a late task counts like four missing ones.
    double servedFraction(std::size_t job) const { return m_servedSums[job] / m_sampleCount; }
    double average() const
    {
        return std::accumulate(m_servedSums.begin(), m_servedSums.end(), 0.0) / m_sampleCount
               / static_cast<double>(TaskCounts.size());
    }

private:
    static std::string workerNamed(int number) { return fmt::format("w{}", number); }
    int randomBelow(int bound)
    {
        return std::uniform_int_distribution<int>(0, bound - 1)(m_random);
    }
    double randomBetween(double low, double high)
    {
        return std::uniform_real_distribution<double>(low, high)(m_random);
    }

    // Updates the worker's report. The own loads of its serving runs vary at random.
    void sendReport(const std::string &worker)
    {
        auto &serving = m_workers[worker];
        auto workerReport = acceptingReport(worker);
        workerReport.used = {static_cast<std::int64_t>(serving.size()) * 2 * MillicoresPerCore,
                             1000, 0};
        double cores = 0;
        for (const auto &run : m_placedRuns)
            cores += run.worker == worker ? RunCores : 0;
        workerReport.bestEffortDemand["heavy"] = cores;
        workerReport.bestEffortMillicores = static_cast<std::int64_t>(cores * 1000);
        for (auto &run : serving) {
            run.headroom = std::clamp(run.headroom + randomBetween(-0.04, 0.04), 0.05, 0.5);
            run.isLate = LoadPerCore * cores > run.headroom;
            workerReport.serving.push_back(run);
        }
        m_pool.update(workerReport, m_now);
    }

    // Places more best-effort runs than fit without interference: most wait for a worker where they
    // make nobody late, one in three is placed anyway.
    void placeRuns()
    {
        step_spec step;
        step.isBestEffort = true;
        step.image = "heavy";
        step.size = {static_cast<std::int64_t>(RunCores * 1000), 500, 0};
        step.estimateMs = 2000;
        for (int arrival = 0; arrival < 4; ++arrival) {
            const bool avoidsInterference = randomBelow(3) > 0;
            const auto worker =
                    m_pool.chooseWorker("tickets", step, {}, m_now, {1, avoidsInterference});
            if (!worker)
                continue;
            m_pool.reserve(*worker, step);
            m_placedRuns.push_back({*worker, m_now + milliseconds(1000 + randomBelow(2000))});
        }
    }

    void recordServedFractions()
    {
        std::array<int, TaskCounts.size()> lateTasks{};
        for (const auto &[worker, serving] : m_workers) {
            for (const auto &run : serving)
                lateTasks[static_cast<std::size_t>(std::stoi(run.job.substr(4)))] +=
                        run.isLate ? 1 : 0;
        }
        for (std::size_t job = 0; job < TaskCounts.size(); ++job)
            m_servedSums[job] += std::max(0.0, 1 - 4.0 * lateTasks[job] / TaskCounts[job]);
        ++m_sampleCount;
    }

    static constexpr double LoadPerCore = 0.05; // load by each core
    static constexpr double RunCores = 2;

    std::mt19937 m_random;
    time_point m_now{std::chrono::hours(1)};
    worker_pool m_pool;
    std::map<std::string, std::vector<serving_headroom>> m_workers;
    std::vector<placed_run> m_placedRuns;
    std::array<double, TaskCounts.size()> m_servedSums{};
    int m_sampleCount = 0;
};

} // namespace

// Guards against jobs that receive all best-effort runs. Jobs with many tasks are nearly always
// late somewhere, so that further interference with them would count for little.
Test(interference_sharing, no_job_is_served_less_than_half_of_the_average)
{
    constexpr unsigned Seeds = 40;
    for (unsigned seed = 1; seed <= Seeds; ++seed) {
        interference_simulation simulation(seed);
        simulation.advance(seconds(60));
        for (std::size_t job = 0; job < TaskCounts.size(); ++job) {
            cr_expect(simulation.servedFraction(job) >= simulation.average() / 2,
                      "seed %u, %d tasks: served %.2f, on average %.2f", seed, TaskCounts[job],
                      simulation.servedFraction(job), simulation.average());
        }
    }
}
