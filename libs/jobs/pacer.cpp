#include "jobs/pacer.h"

#include <algorithm>
#include <cstdlib>
#include <numeric>

namespace zinniabarrow::jobs {

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

int pacer::paceOf(const filling_run &run) const
{
    const auto told = m_told.find({run.task, run.run});
    return told == m_told.end() ? 100 : told->second.percent;
}

std::map<std::string, double> pacer::amounts(const std::vector<filling_run> &filling) const
{
    std::map<std::string, double> sums;
    for (const auto &run : filling)
        sums[run.image] += run.cores;
    return sums;
}

std::vector<disturbance_sample> pacer::samples(const std::vector<serving_sample> &serving,
                                               const std::vector<filling_run> &filling) const
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
            found.push_back({image, sample->tailMs, sample->targetMs, beside});
    }
    return found;
}

pacer::relief pacer::needed(const serving_sample &sample, time_point now)
{
    const run_key key{sample.task, sample.run};
    if (sample.targetMs <= 0 || sample.tailMs <= sample.targetMs) {
        m_late.erase(key);
        return relief::None;
    }
    auto &late = m_late.try_emplace(key, late_run{now, {}}).first->second;
    if (late.stoppedAt == time_point{}) {
        if (now - late.countFrom < m_settings.lateAtMost)
            return relief::None;
        late.stoppedAt = now;
    }
    if (now - late.stoppedAt < m_settings.helpsWithin)
        return relief::FromHarmful;
    if (now - late.stoppedAt < m_settings.stopAtMost)
        return relief::FromAll;
    late = {now, {}};
    return relief::None;
}

std::vector<pace_run> pacer::look(const std::vector<serving_sample> &serving,
                                  const std::vector<filling_run> &filling, time_point now)
{
    bool stopAll = false;
    std::vector<std::string> relieved; // serving images
    for (const auto &sample : serving) {
        const auto kind = needed(sample, now);
        stopAll = stopAll || kind == relief::FromAll;
        if (kind != relief::None)
            relieved.push_back(sample.image);
    }
    std::vector<int> paces(filling.size(), 100);
    for (const auto &sample : serving) {
        if (sample.targetMs > 0 && sample.tailMs > 0)
            limit(sample, filling, paces);
    }
    std::vector<pace_run> changes;
    for (std::size_t index = 0; index < filling.size(); ++index) {
        const auto &run = filling[index];
        const bool harms = std::any_of(relieved.begin(), relieved.end(), [&](const auto &image) {
            return press(image, run.image) >= m_settings.harmless;
        });
        auto &told = m_told[{run.task, run.run}];
        const int next = harms || stopAll ? 0 : bounded(paces[index], told, now);
        if (told.percent != next)
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

double pacer::roomOf(const serving_sample &sample, const std::vector<filling_run> &filling) const
{
    const double floor = floorOf(sample);
    // What the presses don't explain of the measurement counts as the run's own load.
    double own = loadOf(static_cast<double>(sample.tailMs), floor);
    for (const auto &run : filling)
        own -= press(sample.image, run.image) * run.cores;
    return loadOf(m_settings.aim * static_cast<double>(sample.targetMs), floor)
           - std::max(0.0, own);
}

// Lowers `paces` until the tail is expected at the aim.
void pacer::limit(const serving_sample &sample, const std::vector<filling_run> &filling,
                  std::vector<int> &paces) const
{
    double room = roomOf(sample, filling);
    std::vector<std::size_t> order(filling.size());
    std::iota(order.begin(), order.end(), 0);
    // The least harmful first: as many runs as possible keep their pace.
    std::stable_sort(order.begin(), order.end(), [&](std::size_t left, std::size_t right) {
        return press(sample.image, filling[left].image) < press(sample.image, filling[right].image);
    });
    for (const auto index : order) {
        const auto &run = filling[index];
        const double harm = press(sample.image, run.image);
        if (harm < m_settings.harmless)
            continue;
        // At full pace it would use what it uses now, grown by its pace; at most what it asks for.
        const double pace = std::max(1, paceOf(run)) / 100.0;
        const double full = std::min(run.declared, std::max(run.cores / pace, run.declared / 4));
        const int most = std::clamp(static_cast<int>(100 * room / (harm * full)), 0, 100);
        paces[index] = std::min(paces[index], most);
        room -= harm * full * paces[index] / 100.0;
    }
}

int pacer::bounded(int wanted, told_pace &told, time_point now) const
{
    const int next = std::max(m_settings.lowest, wanted);
    if (next < told.percent)
        told.raiseFrom = now + m_settings.raiseEvery;
    if (next > told.percent && now < told.raiseFrom)
        return told.percent;
    const bool small = std::abs(next - told.percent) < m_settings.step && next < 100;
    return small ? told.percent : next;
}

void pacer::confirmed(const pace_run &pace)
{
    const auto told = m_told.find({pace.task, pace.run});
    if (told != m_told.end())
        told->second.percent = pace.percent;
}

void pacer::forget(const task_id &task, int run)
{
    m_told.erase({task, run});
    m_late.erase({task, run});
}

} // namespace zinniabarrow::jobs
