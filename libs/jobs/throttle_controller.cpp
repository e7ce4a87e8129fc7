#include "jobs/throttle_controller.h"

#include <algorithm>
#include <set>
#include <utility>

#include "base/names.h"

namespace zinniabarrow::jobs {

namespace {

// The cores that a tail latency reflects. Requests that queued up beside the neighbours of the half
// second before are still in the tail. If only the cores in use now counted, a part of the
// interference would be taken for the serving runs' own load.
cores_by_image effectiveCores(const cores_by_image &current, const cores_by_image &earlier)
{
    // Of the tail latency, the part that comes from the half second before.
    constexpr double EarlierShare = 0.35;
    cores_by_image cores;
    for (const auto &[image, inUse] : current)
        cores[image] += (1 - EarlierShare) * inUse;
    for (const auto &[image, inUse] : earlier)
        cores[image] += EarlierShare * inUse;
    return cores;
}

cores_by_image difference(cores_by_image cores, const cores_by_image &earlier)
{
    for (const auto &[image, inUse] : earlier)
        cores[image] -= inUse;
    return cores;
}

// The mean drop of 1 / tail latency, 1/ms, over several runs.
struct drop_average
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

// Drops of 1 / tail latency between two samplings. `measured`: of runs whose load was measurable
// both times. `lowerBounds`: of runs whose load exceeded the measurable range once, so that the
// drop is only a lower bound of the change.
struct tail_drops
{
    drop_average measured;
    drop_average lowerBounds;

    void add(std::int64_t beforeMs, std::int64_t nowMs, double maxMeasurableMs)
    {
        const auto [shorter, longer] = std::minmax(beforeMs, nowMs);
        if (static_cast<double>(shorter) > maxMeasurableMs)
            return; // a queue was growing both times: the change is unknown
        auto &average = static_cast<double>(longer) > maxMeasurableMs ? lowerBounds : measured;
        average.add(beforeMs, nowMs);
    }
};

std::set<std::pair<task_id, int>> keysOf(const std::vector<best_effort_run> &runs)
{
    std::set<std::pair<task_id, int>> keys;
    for (const auto &run : runs)
        keys.emplace(run.task, run.run);
    return keys;
}

constexpr name_table<slowing_reason, 2> SlowingReasonNames{{
        {slowing_reason::Slack, "slack"},
        {slowing_reason::Pause, "pause"},
}};

} // namespace

std::string_view nameOf(slowing_reason reason)
{
    return nameOf(SlowingReasonNames, reason);
}

throttle_controller::throttle_controller(const throttle_settings &settings)
    : m_settings(settings)
{ }

double throttle_controller::loadPerCore(const std::string &serving,
                                        const std::string &bestEffort) const
{
    const auto row = m_interference.find(serving);
    if (row == m_interference.end())
        return m_settings.defaultLoadPerCore;
    const auto &loadByImage = row->second.loadsPerCore;
    const auto found = loadByImage.find(bestEffort);
    return found == loadByImage.end() ? m_settings.defaultLoadPerCore : found->second;
}

cores_by_image
throttle_controller::coresByImage(const std::vector<best_effort_run> &bestEffort) const
{
    cores_by_image sums;
    for (const auto &run : bestEffort)
        sums[run.image] += run.usedCores;
    return sums;
}

std::vector<interference_sample>
throttle_controller::takeSamples(const std::vector<serving_sample> &serving,
                                 const std::vector<best_effort_run> &bestEffort)
{
    std::map<std::string, const serving_sample *> worstByImage;
    for (const auto &sample : serving) {
        auto &known = worstByImage[sample.image];
        if (sample.latencyTargetMs > 0
            && (known == nullptr || sample.tailLatencyMs > known->tailLatencyMs))
            known = &sample;
    }
    const auto inUse = coresByImage(bestEffort);
    const neighbour_cores neighbours{inUse, effectiveCores(inUse, m_previous.inUse)};
    std::vector<interference_sample> found;
    for (const auto &[image, sample] : worstByImage) {
        if (sample != nullptr)
            found.push_back({image, sample->tailLatencyMs, sample->latencyTargetMs,
                             neighbours.effective, changeOf(image, serving, neighbours)});
    }
    storePreviousSample(serving, bestEffort, neighbours);
    return found;
}

std::optional<interference_change>
throttle_controller::changeOf(const std::string &image, const std::vector<serving_sample> &serving,
                              const neighbour_cores &neighbours) const
{
    // A tail latency beyond this multiple of the floor only says that a queue is growing.
    constexpr double QueueingFactor = 20;
    tail_drops found;
    for (const auto &sample : serving) {
        const auto before = m_previousTailMs.find({sample.task, sample.run});
        if (sample.image != image || before == m_previousTailMs.end())
            continue;
        if (sample.tailLatencyMs > 0 && before->second > 0)
            found.add(before->second, sample.tailLatencyMs, QueueingFactor * floorMsOf(sample));
    }
    if (found.measured.runs + found.lowerBounds.runs == 0)
        return std::nullopt;
    interference_change change;
    change.isLowerBound = found.measured.runs == 0;
    change.inverseTailDrop = (change.isLowerBound ? found.lowerBounds : found.measured).mean();
    // A lower bound must hold however soon the tail latency follows, so all cores in use count.
    change.bestEffortCores = change.isLowerBound
                                     ? difference(neighbours.inUse, m_previous.inUse)
                                     : difference(neighbours.effective, m_previous.effective);
    return change;
}

void throttle_controller::storePreviousSample(const std::vector<serving_sample> &serving,
                                              const std::vector<best_effort_run> &bestEffort,
                                              const neighbour_cores &neighbours)
{
    m_previousTailMs.clear();
    m_earlierCores = std::exchange(m_previous, neighbours).inUse;
    std::map<run_key, double> loads;
    for (const auto &sample : serving) {
        const run_key key{sample.task, sample.run};
        m_previousTailMs[key] = sample.tailLatencyMs;
        if (sample.tailLatencyMs > 0)
            loads[key] = ownLoad(sample, bestEffort);
    }
    m_forecast.recordLoads(loads);
}

bool throttle_controller::isLateTooLong(late_run &late, bool isLate, time_point now) const
{
    if (!isLate) {
        late.lateSince.reset();
        return false;
    }
    if (!late.lateSince)
        late.lateSince = now;
    return now - *late.lateSince >= m_settings.maxLateTime
           || now - late.mostlyLateSince >= m_settings.maxMostlyLateTime;
}

bool throttle_controller::needsPause(const serving_sample &sample, time_point now)
{
    const run_key key{sample.task, sample.run};
    const bool isLate = sample.latencyTargetMs > 0 && sample.tailLatencyMs > sample.latencyTargetMs;
    const auto known = m_lateRuns.find(key);
    if (known == m_lateRuns.end()) {
        if (isLate)
            m_lateRuns.emplace(key, late_run{now, now, now, {}});
        return false;
    }
    auto &late = known->second;
    if (isLate)
        late.lastLateAt = now;
    if (late.pausedAt == time_point{}) {
        if (now - late.lastLateAt >= m_settings.minGoodTime) {
            m_lateRuns.erase(known);
            return false;
        }
        if (!isLateTooLong(late, isLate, now))
            return false;
        late.pausedAt = now;
        return true;
    }
    const auto pausedFor = now - late.pausedAt;
    if (pausedFor < m_settings.minPause || (isLate && pausedFor < m_settings.maxPause))
        return true;
    if (isLate)
        late = {now, now, now, {}};
    else
        m_lateRuns.erase(known);
    return false;
}

// Counts what the runs have lost since the last call, by the speeds that were in force.
void throttle_controller::updateRuns(const std::vector<best_effort_run> &bestEffort, time_point now)
{
    const auto passed = m_updatedAt == time_point{} ? duration(0) : now - m_updatedAt;
    const auto reason = m_isPausing ? slowing_reason::Pause : slowing_reason::Slack;
    for (const auto &run : bestEffort) {
        const run_key key{run.task, run.run};
        // It is unknown at which speed an earlier incarnation let the run work.
        const speed_state initial{100, !run.isInherited, Never};
        const int percent = m_speeds.try_emplace(key, initial).first->second.percent;
        if (percent < 100)
            m_lostTimes[reason] += passed * (100 - percent) / 100;
        m_slackSpender.spend(key, run.slackMs, percent, now);
    }
    const std::set<run_key> active = keysOf(bestEffort);
    const auto hasEnded = [&](const auto &entry) { return !active.contains(entry.first); };
    std::erase_if(m_speeds, hasEnded);
    std::erase_if(m_fullSpeedUse, hasEnded);
    m_slackSpender.keepOnly(active);
    m_updatedAt = now;
}

std::vector<run_speed>
throttle_controller::decideSpeeds(const std::vector<serving_sample> &serving,
                                  const std::vector<best_effort_run> &bestEffort, time_point now)
{
    updateRuns(bestEffort, now);
    m_isPausing = false;
    for (const auto &sample : serving)
        m_isPausing = needsPause(sample, now) || m_isPausing;
    std::vector<run_speed> changes;
    for (const auto &run : bestEffort) {
        const run_key key{run.task, run.run};
        const int targetPercent = m_isPausing ? 0 : m_slackSpender.percentOf(key);
        auto &speed = m_speeds.at(key);
        if (speed.percent == targetPercent && speed.isConfirmed && now < speed.repeatAt)
            continue;
        speed = {targetPercent, false, now < speed.repeatAt ? speed.repeatAt : Never};
        changes.push_back({run.task, run.run, targetPercent});
    }
    return changes;
}

// A worker measures the cores in use over half a second.
void throttle_controller::updateFullSpeedUse(const std::vector<best_effort_run> &bestEffort)
{
    for (const auto &run : bestEffort) {
        const run_key key{run.task, run.run};
        auto &use = m_fullSpeedUse.try_emplace(key, full_speed_use{run.requestedCores, 0})
                            .first->second;
        use.samples = m_speeds.at(key).percent == 100 ? use.samples + 1 : 0;
        if (use.samples > 1)
            use.cores = run.usedCores;
    }
}

std::vector<headroom_excess>
throttle_controller::spendSlack(const std::vector<serving_sample> &serving,
                                const std::vector<best_effort_run> &bestEffort, time_point now)
{
    updateRuns(bestEffort, now);
    updateFullSpeedUse(bestEffort);
    std::vector<headroom_excess> excesses;
    for (const auto &sample : serving) {
        if (sample.tailLatencyMs <= 0 || sample.latencyTargetMs <= 0)
            continue;
        auto excess = excessOf(sample, bestEffort);
        if (excess.excess > 0)
            excesses.push_back(std::move(excess));
    }
    m_slackSpender.plan(excesses);
    return excesses;
}

// By how much the load exceeds its limit when all runs work at full speed.
headroom_excess throttle_controller::excessOf(const serving_sample &sample,
                                              const std::vector<best_effort_run> &bestEffort) const
{
    const double own = ownLoad(sample, bestEffort);
    const double peak = m_forecast.peakLoadAhead({sample.task, sample.run}, own);
    headroom_excess found;
    found.excess = own + m_settings.anticipatedRiseShare * (peak - own) - limitOf(sample);
    for (const auto &run : bestEffort) {
        const run_key key{run.task, run.run};
        const double load = loadPerCore(sample.image, run.image) * m_fullSpeedUse.at(key).cores;
        found.loads[key] = load;
        found.excess += load;
    }
    return found;
}

double throttle_controller::floorMsOf(const serving_sample &sample) const
{
    const auto row = m_interference.find(sample.image);
    if (row == m_interference.end() || row->second.floorMs <= 0)
        return m_settings.defaultFloorFraction * static_cast<double>(sample.latencyTargetMs);
    return row->second.floorMs;
}

// The part of the measured load that the neighbours' interference doesn't explain.
double throttle_controller::ownLoad(const serving_sample &sample,
                                    const std::vector<best_effort_run> &bestEffort) const
{
    double own = loadOf(static_cast<double>(sample.tailLatencyMs), floorMsOf(sample));
    for (const auto &[image, cores] : effectiveCores(coresByImage(bestEffort), m_earlierCores))
        own -= loadPerCore(sample.image, image) * cores;
    return std::max(0.0, own);
}

double throttle_controller::headroomOf(const serving_sample &sample,
                                       const std::vector<best_effort_run> &bestEffort) const
{
    return limitOf(sample)
           - m_forecast.peakLoadAhead({sample.task, sample.run}, ownLoad(sample, bestEffort));
}

double throttle_controller::limitOf(const serving_sample &sample) const
{
    return loadOf(m_settings.headroomTargetFraction * static_cast<double>(sample.latencyTargetMs),
                  floorMsOf(sample));
}

void throttle_controller::noteConfirmed(const run_speed &speed)
{
    const auto known = m_speeds.find({speed.task, speed.run});
    if (known != m_speeds.end() && known->second.percent == speed.percent)
        known->second.isConfirmed = true;
}

// A worker may carry out a call without an answer seconds later, after newer ones. A run would then
// be paused for good, so its speed is set once more.
void throttle_controller::noteUnanswered(const run_speed &speed, time_point now)
{
    constexpr milliseconds LateEffectLimit{8000};
    const auto known = m_speeds.find({speed.task, speed.run});
    if (known != m_speeds.end())
        known->second.repeatAt = now + LateEffectLimit;
}

void throttle_controller::forget(const task_id &task, int run)
{
    m_speeds.erase({task, run});
    m_lateRuns.erase({task, run});
}

} // namespace zinniabarrow::jobs
