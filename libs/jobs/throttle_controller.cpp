#include "jobs/throttle_controller.h"

#include <algorithm>

namespace zinniabarrow::jobs {

namespace {

// How far 1 / tail fell, 1/ms, over several runs.
struct falls
{
    double sum = 0;
    int runs = 0;

    void add(std::int64_t beforeMs, std::int64_t nowMs)
    {
        sum += 1 / static_cast<double>(beforeMs) - 1 / static_cast<double>(nowMs);
        ++runs;
    }
    double mean() const { return sum / runs; }
};

// Of runs that were measured both times, and of those whose load went beyond what a tail can tell
// or came from there.
struct tail_falls
{
    falls measured;
    falls atLeast;

    void add(std::int64_t beforeMs, std::int64_t nowMs, double boundMs)
    {
        const auto [shorter, longer] = std::minmax(beforeMs, nowMs);
        if (static_cast<double>(shorter) > boundMs)
            return; // a queue all the while
        auto &kind = static_cast<double>(longer) > boundMs ? atLeast : measured;
        kind.add(beforeMs, nowMs);
    }
};

} // namespace

pacer::pacer(const pacer_settings &settings)
    : m_settings(settings)
{ }

double pacer::press(const std::string &serving, const std::string &filling) const
{
    const auto row = m_presses.find(serving);
    if (row == m_presses.end())
        return m_settings.unknownPress;
    const auto &presses = row->second.presses;
    const auto found = presses.find(filling);
    return found == presses.end() ? m_settings.unknownPress : found->second;
}

std::map<std::string, double> pacer::amounts(const std::vector<filling_run> &filling) const
{
    std::map<std::string, double> sums;
    for (const auto &run : filling)
        sums[run.image] += run.cores;
    return sums;
}

std::vector<disturbance_sample> pacer::takeSamples(const std::vector<serving_sample> &serving,
                                                   const std::vector<filling_run> &filling)
{
    std::map<std::string, const serving_sample *> worst;
    for (const auto &sample : serving) {
        auto &known = worst[sample.image];
        if (sample.targetMs > 0 && (known == nullptr || sample.tailMs > known->tailMs))
            known = &sample;
    }
    const auto beside = amounts(filling);
    std::vector<disturbance_sample> found;
    for (const auto &[image, sample] : worst) {
        if (sample != nullptr)
            found.push_back({image, sample->tailMs, sample->targetMs, beside,
                             changeOf(image, serving, beside)});
    }
    remember(serving, filling);
    return found;
}

std::optional<disturbance_change> pacer::changeOf(const std::string &image,
                                                  const std::vector<serving_sample> &serving,
                                                  const std::map<std::string, double> &beside) const
{
    constexpr double Queueing = 20; // times the floor: beyond, a tail says only that a queue grows
    tail_falls found;
    for (const auto &sample : serving) {
        const auto before = m_tailsBefore.find({sample.task, sample.run});
        if (sample.image != image || before == m_tailsBefore.end())
            continue;
        if (sample.tailMs > 0 && before->second > 0)
            found.add(before->second, sample.tailMs, Queueing * floorOf(sample));
    }
    if (found.measured.runs + found.atLeast.runs == 0)
        return std::nullopt;
    disturbance_change change;
    change.atLeast = found.measured.runs == 0;
    change.inverseFall = (change.atLeast ? found.atLeast : found.measured).mean();
    change.fills = beside;
    for (const auto &[filling, cores] : m_besideBefore)
        change.fills[filling] -= cores;
    return change;
}

void pacer::remember(const std::vector<serving_sample> &serving,
                     const std::vector<filling_run> &filling)
{
    m_tailsBefore.clear();
    std::map<run_key, double> loads;
    for (const auto &sample : serving) {
        const run_key key{sample.task, sample.run};
        m_tailsBefore[key] = sample.tailMs;
        if (sample.tailMs > 0)
            loads[key] = ownLoad(sample, filling);
    }
    m_besideBefore = amounts(filling);
    m_forecast.note(loads);
}

bool pacer::needsRelief(const serving_sample &sample, time_point now)
{
    const run_key key{sample.task, sample.run};
    const bool isLate = sample.targetMs > 0 && sample.tailMs > sample.targetMs;
    const auto known = m_late.find(key);
    if (known == m_late.end()) {
        if (isLate)
            m_late.emplace(key, late_run{now, {}});
        return false;
    }
    auto &late = known->second;
    if (late.stoppedAt == time_point{}) {
        if (!isLate) {
            m_late.erase(known);
            return false;
        }
        if (now - late.countFrom < m_settings.lateAtMost)
            return false;
        late.stoppedAt = now;
        return true;
    }
    const auto stopped = now - late.stoppedAt;
    if (stopped < m_settings.shortestStop || (isLate && stopped < m_settings.longestStop))
        return true;
    if (isLate)
        late = {now, {}};
    else
        m_late.erase(known);
    return false;
}

std::vector<pace_run> pacer::look(const std::vector<serving_sample> &serving,
                                  const std::vector<filling_run> &filling, time_point now)
{
    bool standStill = false;
    for (const auto &sample : serving)
        standStill = needsRelief(sample, now) || standStill;
    std::vector<pace_run> changes;
    for (const auto &run : filling) {
        const int next = standStill ? 0 : 100;
        const auto told = m_told.try_emplace({run.task, run.run}, 100).first;
        if (told->second != next)
            changes.push_back({run.task, run.run, next});
    }
    return changes;
}

double pacer::floorOf(const serving_sample &sample) const
{
    const auto row = m_presses.find(sample.image);
    if (row == m_presses.end() || row->second.floorMs <= 0)
        return m_settings.unknownFloor * static_cast<double>(sample.targetMs);
    return row->second.floorMs;
}

// What the presses don't explain of the measurement counts as the run's own load.
double pacer::ownLoad(const serving_sample &sample, const std::vector<filling_run> &filling) const
{
    double own = loadOf(static_cast<double>(sample.tailMs), floorOf(sample));
    for (const auto &run : filling)
        own -= press(sample.image, run.image) * run.cores;
    return std::max(0.0, own);
}

double pacer::roomOf(const serving_sample &sample, const std::vector<filling_run> &filling) const
{
    const double limit =
            loadOf(m_settings.aim * static_cast<double>(sample.targetMs), floorOf(sample));
    return limit - m_forecast.highestAhead({sample.task, sample.run}, ownLoad(sample, filling));
}

void pacer::confirmed(const pace_run &pace)
{
    const auto told = m_told.find({pace.task, pace.run});
    if (told != m_told.end())
        told->second = pace.percent;
}

void pacer::forget(const task_id &task, int run)
{
    m_told.erase({task, run});
    m_late.erase({task, run});
}

} // namespace zinniabarrow::jobs
