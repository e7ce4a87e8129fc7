#include "jobs/worker_pool.h"

#include <algorithm>

#include <fmt/core.h>

#include "base/hash.h"
#include "base/names.h"

namespace zinniabarrow::jobs {

namespace {

constexpr name_table<unfit, 14> UnfitNames{{
        {unfit::No, "fit"},
        {unfit::OtherService, "other_service"},
        {unfit::NotAccepting, "not_accepting"},
        {unfit::Evacuated, "evacuated"},
        {unfit::Silent, "silent"},
        {unfit::SetAside, "set_aside"},
        {unfit::OtherLabel, "other_label"},
        {unfit::Full, "full"},
        {unfit::MakesLate, "makes_late"},
        {unfit::Avoided, "avoided"},
        {unfit::Refused, "refused"},
        {unfit::NoProcessors, "no_processors"},
        {unfit::NoMemory, "no_memory"},
        {unfit::NoAccelerators, "no_accelerators"},
}};

// Of an agent's clock: before any order.
constexpr std::int64_t LongPast = 1;

// Entries hear the same of the workers at the same time. Where all take the worker that is best by
// little, all but the first are refused. Less than any single reason for or against a worker.
double spreadOf(const std::string &worker, std::uint64_t spread)
{
    constexpr double Amount = 0.05; // a quarter of a worker's processors
    constexpr std::uint64_t Parts = 1024;
    if (spread == 0)
        return 0;
    auto mixed = stableHash(worker) ^ (spread * 0x9e3779b97f4a7c15ULL);
    mixed = (mixed ^ (mixed >> 31)) * 0xbf58476d1ce4e5b9ULL;
    mixed ^= mixed >> 29;
    return Amount * static_cast<double>(mixed % Parts) / static_cast<double>(Parts);
}

bool lacksRoom(unfit why)
{
    return why == unfit::Refused || why == unfit::NoProcessors || why == unfit::NoMemory
           || why == unfit::NoAccelerators;
}

} // namespace

std::string_view nameOf(unfit why)
{
    return nameOf(UnfitNames, why);
}

task_size countedSize(const task_size &size, bool fills)
{
    auto counted = size;
    if (fills)
        counted.millicores = 0;
    return counted;
}

worker_pool::worker_pool(const pool_settings &settings)
    : m_settings(settings)
{ }

bool worker_pool::update(const worker_report &report, time_point now)
{
    auto &view = m_workers[report.worker];
    // Held up on its way from a life that was followed by another: what is placed by it is refused.
    if (report.agentIncarnation != 0 && report.agentIncarnation < view.last.agentIncarnation)
        return false;
    const bool newLife = view.last.agentIncarnation != report.agentIncarnation
                         || view.last.epoch != report.epoch;
    noteClock(view, report, now);
    view.last = report;
    view.last.ends.clear();
    view.last.progress.clear();
    view.refused.clear();
    view.heardAt = now;
    view.lateJobs = lateJobsOf(view);
    if (m_service.isDue(now))
        m_service.recordCounts(servingByJob(now), now);
    return newLife;
}

// Of all readings the one counts that says most: a report that was slow to come takes nothing back.
void worker_pool::noteClock(worker_view &view, const worker_report &report, time_point now)
{
    if (report.clockMs == 0 || report.agentIncarnation != view.last.agentIncarnation)
        view.clock.reset();
    if (report.clockMs == 0)
        return;
    if (!view.clock || view.clock->lowerBoundMs(now) < report.clockMs)
        view.clock = agent_clock{report.clockMs, now};
}

std::int64_t worker_pool::orderHoldsUntil(const std::string &worker, std::int64_t agentLife,
                                          time_point now) const
{
    const auto *view = find(worker);
    if (view == nullptr || !view->clock)
        return 0;
    // The clock of that life is not known yet: the order claims a run that is there, no more.
    if (view->last.agentIncarnation < agentLife)
        return LongPast;
    return view->clock->lowerBoundMs(now) + m_settings.orderHolds.count();
}

const worker_view *worker_pool::find(const std::string &worker) const
{
    const auto found = m_workers.find(worker);
    return found == m_workers.end() ? nullptr : &found->second;
}

bool worker_pool::isHeard(const std::string &worker, time_point now) const
{
    const auto *view = find(worker);
    return view != nullptr && now - view->heardAt <= m_settings.silentAfter;
}

void worker_pool::noteEnd(const std::string &worker, end_kind how, double slowness, time_point now)
{
    const auto found = m_workers.find(worker);
    if (found == m_workers.end())
        return;
    auto &view = found->second;
    constexpr double Weight = 0.2; // of the newest: about the last five runs count
    if (how == end_kind::Done) {
        view.failuresInRow = 0;
        if (slowness > 0)
            view.slowness += Weight * (slowness - view.slowness);
    }
    if (how == end_kind::Failed && ++view.failuresInRow >= m_settings.failuresInRow)
        view.setAsideUntil = now + m_settings.setAside;
}

unfit worker_pool::unfitFor(const worker_view &view, const std::string &service,
                            const step_spec &step, bool patient, time_point now) const
{
    const auto &last = view.last;
    if (last.service != service)
        return unfit::OtherService;
    if (m_evacuated.contains(last.zone))
        return unfit::Evacuated;
    if (!last.isAccepting || last.epoch == 0)
        return unfit::NotAccepting;
    if (now - view.heardAt > m_settings.silentAfter)
        return unfit::Silent;
    if (now < view.setAsideUntil)
        return unfit::SetAside;
    if (!step.requiredLabel.empty() && step.requiredLabel != last.kind
        && step.requiredLabel != last.rack)
        return unfit::OtherLabel;
    // Beyond, runs that fill only slow each other down: jobs that wait in order come in time more
    // often than jobs that all run at a fraction of their pace.
    constexpr double MostShare = 0.95;
    if (step.fills && last.bestEffortMillicores > 0 && shareWith(view, step) > MostShare)
        return unfit::Full;
    // What fills waits for a worker where it harms nobody: its objective leaves it time, and a late
    // answer can't be made good.
    constexpr double MostLateJobs = 0.15;
    if (step.fills && patient && lateJobsExpected(view, step) > MostLateJobs)
        return unfit::MakesLate;
    const auto size = countedSize(step.size, step.fills);
    const auto room = roomFor(size, last.capacity, last.used);
    return room == unfit::No && wasRefused(view, size) ? unfit::Refused : room;
}

bool worker_pool::wasRefused(const worker_view &view, const task_size &size)
{
    return std::any_of(view.refused.begin(), view.refused.end(),
                       [&](const auto &refused) { return refused.fitsInto(size); });
}

unfit worker_pool::roomFor(const task_size &size, const task_size &capacity, const task_size &used)
{
    if (used.millicores + size.millicores > capacity.millicores)
        return unfit::NoProcessors;
    if (used.memoryMb + size.memoryMb > capacity.memoryMb)
        return unfit::NoMemory;
    if (used.accelerators + size.accelerators > capacity.accelerators)
        return unfit::NoAccelerators;
    return unfit::No;
}

bool worker_pool::hasRoomBesideLasting(const worker_view &view, const step_spec &step)
{
    return roomFor(countedSize(step.size, step.fills), view.last.capacity,
                   view.last.usedByLongRunning)
           == unfit::No;
}

// The share of the worker's processors that would be in use.
double worker_pool::shareWith(const worker_view &view, const step_spec &step)
{
    const auto &last = view.last;
    const auto capacity = static_cast<double>(std::max<std::int64_t>(1, last.capacity.millicores));
    // What serves has about half of its size in use, and what fills works with the rest.
    constexpr double InUse = 0.5;
    const auto asked = static_cast<double>(last.bestEffortMillicores + step.size.millicores);
    return (InUse * static_cast<double>(last.used.millicores) + asked) / capacity;
}

// Higher is better: the share of the processor that stays free, less what makes the run slow or
// its neighbours late.
double worker_pool::score(const worker_view &view, const step_spec &step, int together) const
{
    if (step.targetMs > 0)
        return servingScore(view, step, together);
    const auto &last = view.last;
    const double share = shareWith(view, step);
    // Below its size a worker runs everything at full speed; above, what fills shares what is left.
    constexpr double Full = 0.9;  // sizes are declared roughly
    constexpr double Crowded = 4; // a run at half speed is worse than one that harms its neighbours
    double score = -0.2 * share - Crowded * std::max(0.0, share - Full);
    if (!step.dataRack.empty() && step.dataRack != last.rack)
        score -= 0.5; // a task far from its data takes half as long again
    score -= 0.25 * std::max(0.0, view.slowness - 1.3); // estimates alone are off by a fifth
    constexpr double LateJob = 4; // as much as the whole worker's processors over again
    return score - LateJob * harmExpected(view, step);
}

// Runs that serve are gathered on few workers, those of one job and one image together, so that
// what fills finds workers where it harms nobody, and elsewhere meets one image at one load and not
// many.
double worker_pool::servingScore(const worker_view &view, const step_spec &step, int together)
{
    const auto &last = view.last;
    const auto twins = std::count_if(last.serving.begin(), last.serving.end(),
                                     [&](const auto &run) { return run.image == step.image; });
    double score = static_cast<double>(fitting(view, step, together)) / together;
    if (!last.serving.empty())
        score += 0.5 + static_cast<double>(twins) / static_cast<double>(last.serving.size());
    // The tightest of those that are alike.
    const auto free = static_cast<double>(last.capacity.millicores - last.used.millicores);
    score -= 0.2 * free / static_cast<double>(std::max<std::int64_t>(1, last.capacity.millicores));
    score -= 0.25 * std::max(0.0, view.slowness - 1.3); // estimates alone are off by a fifth
    return score;
}

// How many of `together` tasks of the step would fit.
int worker_pool::fitting(const worker_view &view, const step_spec &step, int together)
{
    auto room = view.last.capacity;
    room -= view.last.used;
    int tasks = 0;
    while (tasks < together && step.size.fitsInto(room)) {
        room -= step.size;
        ++tasks;
    }
    return step.mostPerWorker > 0 ? std::min(tasks, step.mostPerWorker) : tasks;
}

// By job, how likely the placement of a run that fills makes it late on this worker, or keeps it
// late. Users of a job meet each of its tasks, so that one late task spoils the job, and a second
// one adds little.
std::map<std::string, double> worker_pool::expectedLate(const worker_view &view,
                                                        const step_spec &step) const
{
    std::map<std::string, double> jobs;
    if (!step.fills)
        return jobs;
    // Between surely in time and surely late: own loads swing while the run works.
    constexpr double Uncertain = 0.2; // load
    constexpr double Counts = 0.05;   // load: a run that adds less is in part to blame
    const double cores = static_cast<double>(step.size.millicores) / 1000;
    for (const auto &run : view.last.serving) {
        const double more = m_disturbance.loadPerCore(run.image, step.image) * cores;
        const double load = loadBeside(view, run) + more;
        const double late = std::clamp((load - run.headroom) / Uncertain + 0.5, 0.0, 1.0);
        if (late <= 0 || more <= 0)
            continue;
        auto &worst = jobs[run.job];
        worst = std::max(worst, late * std::min(1.0, more / Counts));
    }
    return jobs;
}

double worker_pool::lateJobsExpected(const worker_view &view, const step_spec &step) const
{
    double sum = 0;
    for (const auto &[job, late] : expectedLate(view, step))
        sum += late * leftToLose(view, job);
    return sum;
}

// Decides between workers. A job that was served less than others counts whole here: a job of many
// tasks is late somewhere nearly always, and would else be sent all that fills. How long what fills
// waits for a worker does not follow from that, since the harm that is done stays as much.
double worker_pool::harmExpected(const worker_view &view, const step_spec &step) const
{
    double sum = 0;
    for (const auto &[job, late] : expectedLate(view, step))
        sum += late * (m_service.isBelowAverage(job) ? 1 : leftToLose(view, job));
    return sum;
}

double worker_pool::leftToLose(const worker_view &view, const std::string &job) const
{
    constexpr double Spoilt = 0.3; // what is left to lose of a job that is late elsewhere
    return isLateElsewhere(view, job) ? Spoilt : 1;
}

double worker_pool::loadBeside(const worker_view &view, const serving_headroom &run) const
{
    double load = 0;
    for (const auto &[filling, amount] : view.last.bestEffortDemand)
        load += m_disturbance.loadPerCore(run.image, filling) * amount;
    return load;
}

std::set<std::string> worker_pool::lateJobsOf(const worker_view &view) const
{
    constexpr double Clearly = 0.05; // load
    std::set<std::string> late;
    for (const auto &run : view.last.serving) {
        if (!run.job.empty() && loadBeside(view, run) > run.headroom + Clearly)
            late.insert(run.job);
    }
    return late;
}

bool worker_pool::isLateElsewhere(const worker_view &view, const std::string &job) const
{
    return std::any_of(m_workers.begin(), m_workers.end(), [&](const auto &entry) {
        return &entry.second != &view && entry.second.lateJobs.contains(job);
    });
}

std::optional<std::string> worker_pool::choose(const std::string &service, const step_spec &step,
                                               const std::vector<std::string> &avoid,
                                               time_point now, const placement_wish &wish) const
{
    const worker_view *best = nullptr;
    double bestScore = 0;
    for (const auto &[name, view] : m_workers) {
        if (unfitFor(view, service, step, wish.patient, now) != unfit::No)
            continue;
        if (std::find(avoid.begin(), avoid.end(), name) != avoid.end())
            continue;
        const auto candidate = score(view, step, wish.together) + spreadOf(name, wish.spread);
        if (best != nullptr && candidate <= bestScore)
            continue;
        best = &view;
        bestScore = candidate;
    }
    if (best == nullptr)
        return std::nullopt;
    return best->last.worker;
}

std::string worker_pool::whyNobody(const std::string &service, const step_spec &step,
                                   const std::vector<std::string> &avoid, time_point now,
                                   const placement_wish &wish) const
{
    std::map<unfit, int> counts;
    int besideLasting = 0;
    for (const auto &[name, view] : m_workers) {
        auto why = unfitFor(view, service, step, wish.patient, now);
        if (why == unfit::OtherService)
            continue;
        if (why == unfit::No && std::find(avoid.begin(), avoid.end(), name) != avoid.end())
            why = unfit::Avoided;
        ++counts[why];
        if (lacksRoom(why))
            besideLasting += hasRoomBesideLasting(view, step) ? 1 : 0;
    }
    if (counts.empty())
        return "no worker";
    std::string text;
    for (const auto &[why, count] : counts)
        text += fmt::format("{} {}, ", count, nameOf(why));
    return text + fmt::format("{} with room beside what lasts", besideLasting);
}

serving_counts worker_pool::servingByJob(time_point now) const
{
    serving_counts jobs;
    for (const auto &[name, view] : m_workers) {
        if (now - view.heardAt > m_settings.silentAfter)
            continue;
        for (const auto &run : view.last.serving) {
            if (run.job.empty())
                continue;
            auto &job = jobs[run.job];
            ++job.running;
            job.late += run.isLate ? 1 : 0;
        }
    }
    return jobs;
}

double worker_pool::usedShare(const std::string &service, time_point now) const
{
    task_size used;
    task_size capacity;
    for (const auto &[name, view] : m_workers) {
        if (view.last.service != service || now - view.heardAt > m_settings.silentAfter)
            continue;
        used += view.last.used;
        capacity += view.last.capacity;
    }
    if (capacity.millicores <= 0)
        return 1;
    return static_cast<double>(used.millicores) / static_cast<double>(capacity.millicores);
}

void worker_pool::reserve(const std::string &worker, const step_spec &step)
{
    const auto found = m_workers.find(worker);
    if (found == m_workers.end())
        return;
    const auto size = countedSize(step.size, step.fills);
    found->second.last.used += size;
    if (step.lasting)
        found->second.last.usedByLongRunning += size;
    if (step.fills) {
        found->second.last.bestEffortMillicores += step.size.millicores;
        found->second.last.bestEffortDemand[step.image] +=
                static_cast<double>(step.size.millicores) / 1000;
    }
    if (step.targetMs > 0) {
        const auto room =
                m_disturbance.loadAtTarget(step.image) - m_disturbance.baseLoad(step.image);
        found->second.last.serving.push_back({step.image, room, ""}); // its job is in the report
    }
}

void worker_pool::noteNoRoom(const std::string &worker, const step_spec &step,
                             time_point reportCame)
{
    const auto found = m_workers.find(worker);
    if (found != m_workers.end() && found->second.heardAt == reportCame)
        found->second.refused.push_back(countedSize(step.size, step.fills));
}

} // namespace zinniabarrow::jobs
