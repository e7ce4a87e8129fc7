#include "jobs/pacer.h"

#include <algorithm>

namespace zinniabarrow::jobs {

pacer::pacer(const pacer_settings &settings)
    : m_settings(settings)
{ }

std::vector<pace_run> pacer::look(const std::vector<serving_sample> &serving,
                                  const std::vector<filling_run> &filling, time_point now)
{
    double worst = 0;
    for (const auto &sample : serving) {
        if (sample.targetMs > 0)
            worst = std::max(worst, static_cast<double>(sample.tailMs)
                                            / static_cast<double>(sample.targetMs));
    }
    adjust(worst, now);
    std::vector<pace_run> changes;
    for (const auto &run : filling) {
        const auto [told, isNew] = m_told.try_emplace({run.task, run.run}, 100);
        if (told->second != m_level)
            changes.push_back({run.task, run.run, m_level});
    }
    return changes;
}

void pacer::adjust(double worst, time_point now)
{
    if (worst > m_settings.giveWayAbove) {
        m_nextRaise = now + m_settings.raiseEvery;
        if (now < m_nextLower)
            return; // the last step has not shown yet
        m_nextLower = now + m_settings.settle;
        m_level = m_level * m_settings.lowerTo / 100;
        if (m_level < m_settings.lowest)
            m_level = 0;
        return;
    }
    if (worst > m_settings.comeBackBelow || now < m_nextRaise || m_level == 100)
        return;
    m_nextRaise = now + m_settings.raiseEvery;
    m_level = std::min(100, m_level + m_settings.raiseBy);
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
}

void pacer::clear()
{
    m_told.clear();
}

} // namespace zinniabarrow::jobs
