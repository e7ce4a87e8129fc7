// Whom runs that fill make late, over a minute of virtual time: several jobs that serve, narrow
// ones and wide ones, on workers where each new run that fills goes where the pool sends it.
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

constexpr int Workers = 24;
constexpr std::array<int, 10> Widths{2, 3, 4, 4, 6, 6, 8, 10, 16, 24};

struct filling
{
    std::string worker;
    time_point endsAt{};
};

class shared_workers
{
public:
    explicit shared_workers(unsigned seed)
        : m_random(seed)
    {
        teach(m_pool, "site", "heavy", Press, 400);
        for (std::size_t job = 0; job < Widths.size(); ++job) {
            for (int task = 0; task < Widths[job]; ++task)
                m_workers[workerNamed(below(Workers))].push_back(
                        {"site", 0, fmt::format("job-{}", job)});
        }
    }

    void play(seconds time)
    {
        constexpr milliseconds Step{250};
        for (const auto until = m_now + time; m_now < until; m_now += Step) {
            std::erase_if(m_filling, [&](const auto &run) { return run.endsAt <= m_now; });
            for (int number = 0; number < Workers; ++number)
                report(workerNamed(number));
            place();
            count();
        }
    }

    // Of 1: what callers had of the job, a late task costing as much as four.
    double served(std::size_t job) const { return m_served[job] / m_counted; }
    double average() const
    {
        return std::accumulate(m_served.begin(), m_served.end(), 0.0) / m_counted
               / static_cast<double>(Widths.size());
    }

private:
    static std::string workerNamed(int number) { return fmt::format("w{}", number); }
    int below(int bound) { return std::uniform_int_distribution<int>(0, bound - 1)(m_random); }
    double between(double low, double high)
    {
        return std::uniform_real_distribution<double>(low, high)(m_random);
    }

    // Own loads of the runs swing.
    void report(const std::string &worker)
    {
        auto &serving = m_workers[worker];
        auto told = openReport(worker);
        told.used = {static_cast<std::int64_t>(serving.size()) * 2 * Cores, 1000, 0};
        double cores = 0;
        for (const auto &run : m_filling)
            cores += run.worker == worker ? RunCores : 0;
        told.filling["heavy"] = cores;
        told.fillMillicores = static_cast<std::int64_t>(cores * 1000);
        for (auto &run : serving) {
            run.room = std::clamp(run.room + between(-0.04, 0.04), 0.05, 0.5);
            run.late = Press * cores > run.room;
            told.serving.push_back(run);
        }
        m_pool.update(told, m_now);
    }

    // More than finds a worker where it harms nobody: each waits for a while, and then goes anyway.
    void place()
    {
        step_spec step;
        step.fills = true;
        step.image = "heavy";
        step.size = {static_cast<std::int64_t>(RunCores * 1000), 500, 0};
        step.estimateMs = 2000;
        for (int arrival = 0; arrival < 4; ++arrival) {
            const bool patient = below(3) > 0;
            const auto worker = m_pool.choose("tickets", step, {}, m_now, {1, patient});
            if (!worker)
                continue;
            m_pool.reserve(*worker, step);
            m_filling.push_back({*worker, m_now + milliseconds(1000 + below(2000))});
        }
    }

    void count()
    {
        std::array<int, Widths.size()> late{};
        for (const auto &[worker, serving] : m_workers) {
            for (const auto &run : serving)
                late[static_cast<std::size_t>(std::stoi(run.job.substr(4)))] += run.late ? 1 : 0;
        }
        for (std::size_t job = 0; job < Widths.size(); ++job)
            m_served[job] += std::max(0.0, 1 - 4.0 * late[job] / Widths[job]);
        ++m_counted;
    }

    static constexpr double Press = 0.05; // load for each core
    static constexpr double RunCores = 2;

    std::mt19937 m_random;
    time_point m_now{std::chrono::hours(1)};
    worker_pool m_pool;
    std::map<std::string, std::vector<serving_room>> m_workers;
    std::vector<filling> m_filling;
    std::array<double, Widths.size()> m_served{};
    int m_counted = 0;
};

} // namespace

// Guards against jobs that are always late somewhere, wide ones most of all, so that harm to them
// counts as little and all that fills is sent to them.
Test(harm_shared, no_job_has_less_than_half_of_the_average)
{
    constexpr unsigned Seeds = 40;
    for (unsigned seed = 1; seed <= Seeds; ++seed) {
        shared_workers site(seed);
        site.play(seconds(60));
        for (std::size_t job = 0; job < Widths.size(); ++job) {
            cr_expect(site.served(job) >= site.average() / 2,
                      "seed %u, %d tasks: served %.2f, on average %.2f", seed, Widths[job],
                      site.served(job), site.average());
        }
    }
}
