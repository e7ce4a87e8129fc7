#include "jobs/pacer.h"

#include <algorithm>
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

std::map<std::string, serving_sample>
pacer::worstSamples(const std::vector<serving_sample> &serving)
{
    std::map<std::string, serving_sample> worst;
    for (const auto &sample : serving) {
        auto &known = worst[sample.image];
        if (sample.targetMs > 0 && sample.tailMs >= known.tailMs)
            known = sample;
    }
    return worst;
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
    const auto beside = amounts(filling);
    std::vector<disturbance_sample> found;
    for (const auto &[image, sample] : worstSamples(serving))
        found.push_back({image, sample.tailMs, sample.targetMs, beside});
    return found;
}

// Lowers `paces` until the tail of the image is expected at the aim. What the presses don't explain
// of the measurement counts as the image's own load.
void pacer::limit(const serving_sample &sample, const std::vector<filling_run> &filling,
                  std::vector<int> &paces) const
{
    const auto &image = sample.image;
    const auto target = static_cast<double>(sample.targetMs);
    const auto row = m_presses.find(image);
    const double floor = row == m_presses.end() || row->second.floorMs <= 0
                                 ? m_settings.unknownFloor * target
                                 : row->second.floorMs;
    double own = loadOf(static_cast<double>(sample.tailMs), floor);
    for (const auto &run : filling)
        own -= press(image, run.image) * paceOf(run) / 100.0;
    double room = loadOf(m_settings.aim * target, floor) - std::max(0.0, own);
    std::vector<std::size_t> order(filling.size());
    std::iota(order.begin(), order.end(), 0);
    // The least harmful first: as many runs as possible keep their pace.
    std::stable_sort(order.begin(), order.end(), [&](std::size_t left, std::size_t right) {
        return press(image, filling[left].image) < press(image, filling[right].image);
    });
    for (const auto index : order) {
        const double harm = press(image, filling[index].image);
        if (harm < m_settings.harmless)
            continue;
        const int most = std::clamp(static_cast<int>(100 * room / harm), 0, 100);
        paces[index] = std::min(paces[index], most < m_settings.smallest ? 0 : most);
        room -= harm * paces[index] / 100.0;
    }
}

std::vector<pace_run> pacer::look(const std::vector<serving_sample> &serving,
                                  const std::vector<filling_run> &filling, time_point now)
{
    countLost(filling, now);
    noteHarm(serving, now);
    std::vector<int> paces(filling.size(), 100);
    for (const auto &[image, sample] : worstSamples(serving))
        limit(sample, filling, paces);
    const bool mustStop = m_overSince != Never && now - m_overSince >= m_settings.harmAtMost;
    for (std::size_t index = 0; index < filling.size(); ++index) {
        if (!mustStop && isUrgent(filling[index]))
            paces[index] = 100;
    }
    std::vector<pace_run> changes;
    for (std::size_t index = 0; index < filling.size(); ++index) {
        const auto &run = filling[index];
        auto &told = m_told[{run.task, run.run}];
        int next = paces[index];
        if (next < told.percent)
            told.raiseFrom = now + m_settings.raiseEvery;
        if (next > told.percent)
            next = now < told.raiseFrom ? told.percent
                                        : std::min(next, told.percent + m_settings.raiseBy);
        if (next == told.percent)
            continue;
        changes.push_back({run.task, run.run, next, now});
    }
    return changes;
}

bool pacer::isUrgent(const filling_run &run) const
{
    const auto told = m_told.find({run.task, run.run});
    const double lost = told == m_told.end() ? 0 : told->second.lostMs;
    return lost >= static_cast<double>(run.mayLoseMs);
}

void pacer::countLost(const std::vector<filling_run> &filling, time_point now)
{
    for (const auto &run : filling) {
        auto &told = m_told[{run.task, run.run}];
        if (told.countedAt != time_point{}) {
            const std::chrono::duration<double, std::milli> passed = now - told.countedAt;
            told.lostMs += passed.count() * (100 - told.percent) / 100.0;
        }
        told.countedAt = now;
    }
}

void pacer::noteHarm(const std::vector<serving_sample> &serving, time_point now)
{
    const bool over = std::any_of(serving.begin(), serving.end(), [](const auto &sample) {
        return sample.targetMs > 0 && sample.tailMs > sample.targetMs;
    });
    if (!over)
        m_overSince = Never;
    else if (m_overSince == Never)
        m_overSince = now;
}

void pacer::confirmed(const pace_run &pace)
{
    const auto told = m_told.find({pace.task, pace.run});
    if (told == m_told.end())
        return;
    if (pace.percent > told->second.percent)
        told->second.raiseFrom = std::max(told->second.raiseFrom, pace.raisedAt) + m_settings.raiseEvery;
    told->second.percent = pace.percent;
}

void pacer::forget(const task_id &task, int run)
{
    m_told.erase({task, run});
}

} // namespace zinniabarrow::jobs
