#include "config/generation_follower.h"

#include <algorithm>

#include "base/errors.h"

namespace zinniabarrow::config {

namespace {

constexpr std::size_t MaxSources = 16; // processes remembered as sources of one content

} // namespace

generation_follower::generation_follower(follower_settings settings)
    : m_settings(std::move(settings))
    , m_content(std::make_shared<generation_content>())
{ }

generation_actions generation_follower::handle(const generation_event &event, time_point now)
{
    if (const auto *received = std::get_if<report_received>(&event))
        return receiveReport(received->report, now);
    if (const auto *answer = std::get_if<content_read>(&event))
        return handleContentRead(*answer, now);
    if (std::holds_alternative<tick>(event))
        return checkDeadline(now);
    return {};
}

generation_actions generation_follower::considerAcceptedGeneration(std::uint64_t generation,
                                                                   const std::string &digest,
                                                                   time_point now)
{
    return considerGeneration(generation, digest, "", now);
}

generation_actions generation_follower::adoptContent(std::uint64_t generation,
                                                     const std::string &text)
{
    // Answers may be late and out of order. An older generation that arrives after a newer one
    // would revert the configuration, so it is dropped. applySlice checks the same for slices.
    if (generation <= m_generation)
        return {};
    m_content = std::make_shared<generation_content>(contentFromText(text));
    m_contentText = text;
    m_sliceDigest.clear();
    return adopt(generation, digestOf(text));
}

generation_actions generation_follower::adopt(std::uint64_t generation, const std::string &digest)
{
    m_generation = generation;
    m_highestKnown = std::max(m_highestKnown, generation);
    m_digest = digest;
    if (m_fetch && m_fetch->generation <= generation)
        m_fetch.reset();
    ++m_counters.adoptedGenerations;
    return {adopt_generation{generation, m_digest, mergedConfig()}, push_generation{report(), {}}};
}

std::shared_ptr<const configuration> generation_follower::mergedConfig() const
{
    return {m_content, &m_content->mergedConfig};
}

generation_report generation_follower::report() const
{
    return {m_settings.process, m_settings.role, m_generation, m_digest};
}

std::optional<std::string> generation_follower::contentTextFor(const std::string &digest) const
{
    if (m_generation == 0 || digest != m_digest || m_contentText.empty())
        return std::nullopt;
    return m_contentText;
}

generation_actions generation_follower::receiveReport(const generation_report &report,
                                                      time_point now)
{
    if (report.process == m_settings.process)
        return {};
    return considerGeneration(report.generation, report.digest, report.process, now);
}

generation_actions generation_follower::considerGeneration(std::uint64_t generation,
                                                           const std::string &digest,
                                                           const std::string &source,
                                                           time_point now)
{
    m_highestKnown = std::max(m_highestKnown, generation);
    if (generation > 0 && generation == m_generation && digest != m_digest)
        ++m_counters.digestConflicts;
    if (generation <= m_generation)
        return {};
    if (m_fetch && generation < m_fetch->generation)
        return {};
    if (!m_fetch || generation > m_fetch->generation) {
        m_fetch = content_fetch{generation, digest, {source}, 0, 0, now};
        return requestFromNextSource(now);
    }
    auto &sources = m_fetch->sources;
    if (digest != m_fetch->digest)
        ++m_counters.digestConflicts;
    else if (sources.size() < MaxSources
             && std::find(sources.begin(), sources.end(), source) == sources.end())
        sources.push_back(source);
    return {};
}

generation_actions generation_follower::requestFromNextSource(time_point now)
{
    auto &currentFetch = *m_fetch;
    const auto &source =
            currentFetch.sources[currentFetch.nextSource % currentFetch.sources.size()];
    ++currentFetch.nextSource;
    currentFetch.pendingRequest = ++m_lastRequest;
    currentFetch.deadline = now + m_settings.readTimeout;
    return {read_content{currentFetch.pendingRequest, currentFetch.digest, source, m_settings.scope,
                         m_sliceDigest}};
}

// The next source is tried at once. After all sources have failed, there is a pause of readTimeout,
// so that an outage of all sources doesn't cause a storm of requests.
void generation_follower::markSourceFailed(time_point now)
{
    ++m_counters.failedReads;
    m_fetch->pendingRequest = 0;
    const bool hasAskedAll = m_fetch->nextSource % m_fetch->sources.size() == 0;
    m_fetch->deadline = hasAskedAll ? now + m_settings.readTimeout : now;
}

generation_actions generation_follower::handleContentRead(const content_read &answer,
                                                          time_point now)
{
    if (!m_fetch || answer.request != m_fetch->pendingRequest)
        return {};
    if (answer.isFound) {
        try {
            const auto adoptActions = answer.sliceDigest.empty() ? applyWholeContent(answer.content)
                                                                 : applySlice(answer);
            if (adoptActions)
                return *adoptActions;
        } catch (const error &) { // the content does not parse
        }
        ++m_counters.invalidContents;
    }
    markSourceFailed(now);
    return checkDeadline(now);
}

// Refuses a content that does not have the expected digest; the next source is then tried. Without
// this check a truncated or interchanged content would put a wrong configuration in force in this
// process only.
std::optional<generation_actions> generation_follower::applyWholeContent(const std::string &text)
{
    if (digestOf(text) != m_fetch->digest)
        return std::nullopt;
    return adoptContent(m_fetch->generation, text);
}

// The digest of the whole content can't be checked with a slice. Instead the source sends a slice
// only of the generation in force there, and the slice has a digest of its own, which shows
// truncation.
//
// The source leaves out the content if the requester says that it already holds this slice. Such an
// answer is accepted only if the digest is that of the slice held here: otherwise a process that
// has just started could report the generation without having any content.
std::optional<generation_actions> generation_follower::applySlice(const content_read &answer)
{
    if (!m_settings.scope)
        return std::nullopt;
    if (m_fetch->generation <= m_generation)
        return generation_actions();
    const bool isHeldAlready = answer.content.empty() && answer.sliceDigest == m_sliceDigest;
    if (!isHeldAlready) {
        if (digestOf(answer.content) != answer.sliceDigest)
            return std::nullopt;
        m_content = std::make_shared<generation_content>(contentFromText(answer.content));
        m_contentText.clear();
        m_sliceDigest = answer.sliceDigest;
    }
    return adopt(m_fetch->generation, m_fetch->digest);
}

generation_actions generation_follower::checkDeadline(time_point now)
{
    if (!m_fetch || now < m_fetch->deadline)
        return {};
    if (m_fetch->pendingRequest != 0) {
        markSourceFailed(now);
        return checkDeadline(now);
    }
    return requestFromNextSource(now);
}

} // namespace zinniabarrow::config
