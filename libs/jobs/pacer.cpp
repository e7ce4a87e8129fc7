#include "jobs/pacer.h"

#include <algorithm>

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
    return told == m_told.end() ? 100 : told->second;
}

std::map<std::string, double> pacer::amounts(const std::vector<filling_run> &filling) const
{
    std::map<std::string, double> sums;
    for (const auto &run : filling)
        sums[run.image] += paceOf(run) / 100.0;
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
    std::vector<pace_run> changes;
    for (const auto &run : filling) {
        const bool harms = std::any_of(relieved.begin(), relieved.end(), [&](const auto &image) {
            return press(image, run.image) >= m_settings.harmless;
        });
        const int next = harms || stopAll ? 0 : 100;
        const auto [told, isNew] = m_told.try_emplace({run.task, run.run}, 100);
        if (told->second != next)
            changes.push_back({run.task, run.run, next});
    }
    return changes;
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
