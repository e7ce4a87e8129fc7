// Soak test of entries and agents as real processes: callers submit, read and cancel jobs while
// processes are stopped, killed and frozen, the store and workers fail. Then a calm span, after
// which each accepted job is asked for. All promises are checked against the record of what callers
// and workers saw.
//
// All variation is drawn from a seed; odd seeds draw planned stops only. ZB_SOAK_SEED=N runs one
// seed, ZB_SOAK_SEEDS=A-B a range. ZB_SOAK_SECONDS: length of the faults. ZB_SOAK_LOGS=FOLDER keeps
// the logs and the timeline of a seed that breaks a promise.
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <thread>

#include "soak/disruptor.h"
#include "soak/job_shapes.h"
#include "soak/load.h"
#include "soak/plan.h"
#include "soak/promises.h"
#include "soak/record_file.h"
#include "soak/system.h"
#include "soak/timeline.h"

// Defines the macros check and require, so it comes last.
#include "section.h"

using namespace zinniabarrow;
using namespace zinniabarrow::soak;
using tests::WaitLimit;

namespace {

constexpr unsigned FirstSeed = 1; // of those that run by default
constexpr unsigned LastSeed = 2;
constexpr int EntryCount = 3;
constexpr int AgentCount = 6;
constexpr std::int64_t WorkerCapacity = 4000; // 1/1000 core
constexpr seconds FaultTime{20};
constexpr seconds CalmTime{14};
constexpr milliseconds TickInterval{5};
constexpr std::size_t MaxPrintedBreaks = 20; // of a seed; the folder of the logs has all

seconds faultTime()
{
    const char *text = std::getenv("ZB_SOAK_SECONDS");
    return text == nullptr ? FaultTime : seconds(std::stoi(text));
}

bool hasPlannedStopsOnly(unsigned seed)
{
    return seed % 2 == 1;
}

template <typename Event>
std::ptrdiff_t countOf(const std::vector<timeline_item> &items)
{
    return std::count_if(items.begin(), items.end(), [](const timeline_item &item) {
        return std::holds_alternative<Event>(item.event);
    });
}

class process_soak
{
public:
    explicit process_soak(unsigned seed)
        : m_seed(seed)
        , m_shapes(m_record)
        , m_system(systemOptions(), m_record)
        , m_disruptor(drawPlan(seed, planOptions()), m_system, m_record)
        , m_load(m_system.callersAddresses(), seed, m_record, {})
    { }

    void run()
    {
        m_disruptor.start();
        require(standins::waitUntil([&] { return m_system.areEntriesReady(); }, WaitLimit));
        m_load.start();
        const auto giveUpAt = monotonic_clock::now() + faultTime() + WaitLimit;
        while (!m_disruptor.isCalm() && monotonic_clock::now() < giveUpAt)
            tick();
        m_load.cancelSome(false);
        m_load.stop();
        const auto calmUntil = monotonic_clock::now() + CalmTime;
        while (monotonic_clock::now() < calmUntil)
            tick();
        m_unsettledJobs = m_load.readAllJobs(monotonic_clock::now() + WaitLimit);
        m_broken = brokenPromises(m_record.items(), promiseLimits());
        for (const auto &violation : m_system.platform().violations())
            m_broken.push_back(violation);
        for (const auto &failure : m_disruptor.failures())
            m_broken.push_back(failure);
        if (m_unsettledJobs > 0)
            m_broken.push_back(fmt::format("{} jobs are not settled", m_unsettledJobs));
    }

    const std::vector<std::string> &broken() const { return m_broken; }

    std::string summary() const
    {
        const auto items = m_record.items();
        return fmt::format(
                "seed {}{}: {} requests, {} without an answer, {} jobs accepted, {} runs, "
                "{} disruptions, {} stops killed; {} broken",
                m_seed, hasPlannedStopsOnly(m_seed) ? " (planned stops)" : "",
                countOf<request_sent>(items), countOf<request_unanswered>(items),
                m_load.acceptedCount(), countOf<run_started>(items), countOf<fault_noted>(items),
                m_disruptor.killedStops(), m_broken.size());
    }

    void keepLogs(const std::string &folder) const
    {
        const auto target = fmt::format("{}/seed-{}-{}", folder, m_seed, getpid());
        std::filesystem::copy(m_system.scratch(), target, std::filesystem::copy_options::recursive);
        writeTimeline(m_record.items(), target + "/timeline.jsonl");
        std::ofstream broken(target + "/broken.txt");
        for (const auto &each : m_broken)
            broken << each << "\n";
    }

private:
    plan_options planOptions() const
    {
        plan_options options;
        options.entries = EntryCount;
        options.agents = AgentCount;
        options.links = m_system.linkedPairs();
        options.hasPlannedStopsOnly = hasPlannedStopsOnly(m_seed);
        options.endsAt = faultTime();
        return options;
    }

    system_options systemOptions()
    {
        system_options options;
        options.entries = EntryCount;
        options.agents = AgentCount;
        options.workerCapacity = WorkerCapacity;
        options.hasLinks = !hasPlannedStopsOnly(m_seed);
        options.describeTask = [this](const jobs::task_id &task) { return m_shapes.shapeOf(task); };
        options.onRun = [this](const standins::run_notice &notice) { noteRun(notice); };
        options.onLapse = [this](std::size_t worker) {
            m_record.note(fault_noted{"lease_lapsed", fmt::format("worker-{}", worker), true, ""});
        };
        return options;
    }

    static promise_limits promiseLimits()
    {
        promise_limits limits;
        limits.capacity = AgentCount * WorkerCapacity;
        return limits;
    }

    // Called on the platform's thread.
    void noteRun(const standins::run_notice &notice)
    {
        const auto worker = fmt::format("worker-{}", notice.worker);
        const auto &task = notice.task;
        if (notice.how.empty()) {
            m_record.note(run_started{worker, task.job, task.step, task.index, notice.run,
                                      task.occurrence});
        } else {
            m_record.note(run_ended{worker, task.job, task.step, task.index, notice.run, notice.how,
                                    task.occurrence});
        }
    }

    void tick()
    {
        m_disruptor.tick(monotonic_clock::now());
        std::this_thread::sleep_for(TickInterval);
    }

    const unsigned m_seed;
    timeline m_record;
    job_shapes m_shapes;
    soak_system m_system;
    disruptor m_disruptor;
    soak_load m_load;
    std::size_t m_unsettledJobs = 0;
    std::vector<std::string> m_broken;
};

void runSeed(unsigned seed)
{
    process_soak soak(seed);
    soak.run();
    fmt::print("{}\n", soak.summary());
    std::fflush(stdout);
    const auto &broken = soak.broken();
    for (std::size_t index = 0; index < std::min(broken.size(), MaxPrintedBreaks); ++index)
        cr_expect_fail("seed %u: %s", seed, broken[index].c_str());
    const char *folder = std::getenv("ZB_SOAK_LOGS");
    if (folder != nullptr && !soak.broken().empty())
        soak.keepLogs(folder);
}

struct seed_range
{
    unsigned first = FirstSeed;
    unsigned last = LastSeed;
};

seed_range seedRange()
{
    if (const char *text = std::getenv("ZB_SOAK_SEED")) {
        const auto seed = static_cast<unsigned>(std::stoul(text));
        return {seed, seed};
    }
    if (const char *text = std::getenv("ZB_SOAK_SEEDS")) {
        const std::string range = text;
        return {static_cast<unsigned>(std::stoul(range)),
                static_cast<unsigned>(std::stoul(range.substr(range.find('-') + 1)))};
    }
    return {};
}

} // namespace

// Guards against accepted jobs that are lost, stand still or run twice, and requests that end
// without an answer, while processes, workers and the store fail.
Test(process_soak, promises_hold)
{
    const auto range = seedRange();
    for (unsigned seed = range.first; seed <= range.last; ++seed)
        runSeed(seed);
}
