// Decides which generation a process works by: the highest that it has heard of and whose content
// it holds, never a lower one than before. Enough for an agent; an entry's keeper has one inside.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "config/generation_events.h"

namespace zinniabarrow::config {

struct follower_settings
{
    std::string process;                  // id of this process
    std::string role;                     // "entry" or "agent"
    milliseconds readTimeout{1000};       // then the next source is asked
    std::optional<content_scope> scope{}; // of an agent: a slice is enough
};

struct follower_counters
{
    std::uint64_t adoptedGenerations = 0; // generations taken up
    std::uint64_t failedReads = 0;        // contents that a source did not give in time
    std::uint64_t invalidContents = 0; // contents that did not match their digest or did not parse
    std::uint64_t digestConflicts = 0; // reports of the same generation with another content
};

class generation_follower
{
public:
    explicit generation_follower(follower_settings settings);

    // report_heard, content_read and tick; other events do nothing. Gives read_content,
    // adopt_generation and push_generation.
    generation_actions handle(const generation_event &event, time_point now);

    // A generation that the table names: its content lies in the object store.
    generation_actions considerStored(std::uint64_t generation, const std::string &digest,
                                      time_point now);
    // A generation whose content is at hand.
    generation_actions adoptContent(std::uint64_t generation, const std::string &text);

    std::uint64_t generation() const { return m_generation; } // in force here; 0: none yet
    std::uint64_t highestKnownGeneration() const
    {
        return m_highestKnown;
    } // here, at peers or in the table
    const std::string &digest() const { return m_digest; }
    const generation_content &content() const { return *m_content; }
    std::shared_ptr<const configuration> mergedConfig() const;
    generation_report report() const;
    const follower_counters &counters() const { return m_counters; }

    // For a peer that asks; empty unless it is the whole content in force.
    std::optional<std::string> contentTextFor(const std::string &digest) const;

private:
    // The generation being fetched, and who may have its content.
    struct content_fetch
    {
        std::uint64_t generation = 0;
        std::string digest;
        std::vector<std::string> sources; // process ids; "": the object store
        std::size_t nextSource = 0;       // source to ask next, round and round
        std::uint64_t pendingRequest = 0; // being waited for; 0: none
        time_point deadline{};            // of that request, or of the pause before the next
    };

    generation_actions receiveReport(const generation_report &report, time_point now);
    generation_actions considerGeneration(std::uint64_t generation, const std::string &digest,
                                          const std::string &source, time_point now);
    generation_actions handleContentRead(const content_read &answer, time_point now);
    generation_actions adopt(std::uint64_t generation, const std::string &digest);
    std::optional<generation_actions> applyWholeContent(const std::string &text);
    std::optional<generation_actions> applySlice(const content_read &answer);
    generation_actions requestFromNextSource(time_point now);
    generation_actions checkDeadline(time_point now);
    void markSourceFailed(time_point now);

    follower_settings m_settings;
    std::uint64_t m_generation = 0;
    std::uint64_t m_highestKnown = 0;
    std::string m_digest;
    std::string m_contentText; // empty where a slice is in force
    std::string m_sliceDigest; // empty where the whole is in force
    std::shared_ptr<const generation_content> m_content;
    std::optional<content_fetch> m_fetch;
    std::uint64_t m_lastRequest = 0;
    follower_counters m_counters;
};

} // namespace zinniabarrow::config
