// Decides which generation of the configuration is in force in a process: the highest one that the
// process knows of and whose content it has fetched. The generation in force never decreases. An
// agent (the process beside a worker) uses a follower by itself; in an entry (a process that
// forwards callers' requests) the follower is part of the generation_manager.
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
    milliseconds readTimeout{1000};       // longest wait for one source; then the next is tried
    std::optional<content_scope> scope{}; // set in an agent: fetch only this slice
};

struct follower_counters
{
    std::uint64_t adoptedGenerations = 0; // generations that came into force here
    std::uint64_t failedReads = 0; // reads without an answer in time or with an unusable content
    // Of the failed reads, those whose content did not match its digest or did not parse.
    std::uint64_t invalidContents = 0;
    // Reports, or table rows, that give another digest for the generation in force or being
    // fetched.
    std::uint64_t digestConflicts = 0;
};

// Does no I/O: returns the actions that the code which owns it must execute. That code also owns
// threads and connections.
// Not thread-safe.
class generation_follower
{
public:
    explicit generation_follower(follower_settings settings);

    // Handles report_received, content_read and tick; ignores other events. Returns none or some of
    // these actions: read_content to fetch a content; adopt_generation, and a push_generation to
    // all known processes, when a generation comes into force here.
    generation_actions handle(const generation_event &event, time_point now);

    // Call it with the generation in the table's accepted row. If that is the highest known one and
    // not in force here, its content is fetched, with the object store as one of the sources.
    generation_actions considerAcceptedGeneration(std::uint64_t generation,
                                                  const std::string &digest, time_point now);
    // Puts a generation in force whose content (as of `contentText`) is already available. Does
    // nothing unless `generation` is above the one in force.
    generation_actions adoptContent(std::uint64_t generation, const std::string &text);

    std::uint64_t generation() const { return m_generation; } // in force here; 0: none yet
    // The highest generation seen here, in reports of peers or in the table.
    std::uint64_t highestKnownGeneration() const { return m_highestKnown; }
    const std::string &digest() const { return m_digest; } // of the generation in force
    // The content of the generation in force; empty before the first one. Only a slice if a scope
    // is set and the source sent a slice.
    const generation_content &content() const { return *m_content; }
    // The configuration in content(), merged from all files; never null.
    std::shared_ptr<const configuration> mergedConfig() const;
    generation_report report() const; // of this process
    const follower_counters &counters() const { return m_counters; }

    // The content for a peer that requests it. Nothing unless `digest` is that of the generation in
    // force and this process has the whole content, not only a slice.
    std::optional<std::string> contentTextFor(const std::string &digest) const;

private:
    // A generation that is being fetched, and the sources that may have its content.
    struct content_fetch
    {
        std::uint64_t generation = 0;
        std::string digest;
        std::vector<std::string> sources; // process ids; "": the object store
        std::size_t nextSource = 0;       // index of the source to try next, modulo their number
        std::uint64_t pendingRequest = 0; // request that has no answer yet; 0: none
        // With a pending request, its deadline; otherwise the end of the pause before the next one.
        time_point deadline{};
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
    std::string m_contentText; // empty if m_content is only a slice
    std::string m_sliceDigest; // empty if m_content is the whole content
    std::shared_ptr<const generation_content> m_content;
    std::optional<content_fetch> m_fetch;
    std::uint64_t m_lastRequest = 0;
    follower_counters m_counters;
};

} // namespace zinniabarrow::config
