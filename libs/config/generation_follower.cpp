#include "config/generation_follower.h"

#include <algorithm>

#include "base/errors.h"

namespace zinniabarrow::config {

namespace {

constexpr std::size_t MostSources = 16;

} // namespace

generation_follower::generation_follower(follower_settings settings)
    : m_settings(std::move(settings))
    , m_content(std::make_shared<generation_content>())
{ }

generation_actions generation_follower::handle(const generation_event &event, time_point now)
{
    if (const auto *heard = std::get_if<report_heard>(&event))
        return hear(heard->report, now);
    if (const auto *answer = std::get_if<content_read>(&event))
        return take(*answer, now);
    if (std::holds_alternative<tick>(event))
        return checkTime(now);
    return {};
}

generation_actions generation_follower::offerStored(std::uint64_t generation,
                                                    const std::string &digest, time_point now)
{
    return offer(generation, digest, "", now);
}

generation_actions generation_follower::adoptHeld(std::uint64_t generation, const std::string &text)
{
    // Answers come late and in any order: an older generation that arrives after a newer one
    // would take the configuration back, so it is dropped here, the only place that adopts.
    if (generation <= m_generation)
        return {};
    m_content = std::make_shared<generation_content>(contentFromText(text));
    m_generation = generation;
    m_highest = std::max(m_highest, generation);
    m_digest = digestOf(text);
    m_text = text;
    if (m_fetch && m_fetch->generation <= generation)
        m_fetch.reset();
    ++m_counters.adopted;
    return {adopt_generation{generation, m_digest, whole()}, push_generation{report(), {}}};
}

std::shared_ptr<const configuration> generation_follower::whole() const
{
    return {m_content, &m_content->whole};
}

generation_report generation_follower::report() const
{
    return {m_settings.process, m_settings.role, m_generation, m_digest};
}

std::optional<std::string> generation_follower::textFor(const std::string &digest) const
{
    if (m_generation == 0 || digest != m_digest)
        return std::nullopt;
    return m_text;
}

generation_actions generation_follower::hear(const generation_report &report, time_point now)
{
    if (report.process == m_settings.process)
        return {};
    return offer(report.generation, report.digest, report.process, now);
}

generation_actions generation_follower::offer(std::uint64_t generation, const std::string &digest,
                                              const std::string &source, time_point now)
{
    m_highest = std::max(m_highest, generation);
    if (generation > 0 && generation == m_generation && digest != m_digest)
        ++m_counters.forks;
    if (generation <= m_generation)
        return {};
    if (m_fetch && generation < m_fetch->generation)
        return {};
    if (!m_fetch || generation > m_fetch->generation) {
        m_fetch = fetch{generation, digest, {source}, 0, 0, now};
        return askNext(now);
    }
    auto &sources = m_fetch->sources;
    if (digest != m_fetch->digest)
        ++m_counters.forks;
    else if (sources.size() < MostSources
             && std::find(sources.begin(), sources.end(), source) == sources.end())
        sources.push_back(source);
    return {};
}

generation_actions generation_follower::askNext(time_point now)
{
    auto &wanted = *m_fetch;
    const auto &source = wanted.sources[wanted.next % wanted.sources.size()];
    ++wanted.next;
    wanted.request = ++m_lastRequest;
    wanted.deadline = now + m_settings.readTimeout;
    return {read_content{wanted.request, wanted.digest, source}};
}

// The next source is asked at once, but after a whole round of failures only after a pause: all
// sources down must not become a storm of questions.
void generation_follower::giveUpSource(time_point now)
{
    ++m_counters.readsFailed;
    m_fetch->request = 0;
    const bool hasAskedAll = m_fetch->next % m_fetch->sources.size() == 0;
    m_fetch->deadline = hasAskedAll ? now + m_settings.readTimeout : now;
}

generation_actions generation_follower::take(const content_read &answer, time_point now)
{
    if (!m_fetch || answer.request != m_fetch->request)
        return {};
    // A cut or mixed-up content under the right name would put a wrong configuration in force at
    // this process alone; its digest shows it, and the next source is asked.
    if (answer.isFound && digestOf(answer.content) == m_fetch->digest) {
        try {
            return adoptHeld(m_fetch->generation, answer.content);
        } catch (const error &) {
            ++m_counters.badContents;
        }
    } else if (answer.isFound) {
        ++m_counters.badContents;
    }
    giveUpSource(now);
    return checkTime(now);
}

generation_actions generation_follower::checkTime(time_point now)
{
    if (!m_fetch || now < m_fetch->deadline)
        return {};
    if (m_fetch->request != 0) {
        giveUpSource(now);
        return checkTime(now);
    }
    return askNext(now);
}

} // namespace zinniabarrow::config
