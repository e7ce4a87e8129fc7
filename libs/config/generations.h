// Manages the configuration in an entry, a process that forwards callers' requests: polls the
// operators' folder, accepts the folder's state as a new generation by a conditional write, and
// puts the highest accepted generation in force. All entries do this at the same time; no leader is
// needed.
//
// One round of polling:
// 1. Read the accepted row of the table (see accepted_row). The round ends here if the folder
//    needn't be listed yet.
// 2. List the folder, read the files that changed, and list the folder again. If the two listings
//    differ, the round is abandoned.
// 3. Merge and validate all files. If they are invalid, the round ends: the problems are kept for
//    operators, and the generation in force stays.
// 4. Write the content of the new generation, then the accepted row, on the condition that the row
//    has not changed since step 1.
//
// The row is read before the folder is listed. So if the row is still unchanged when it is written,
// no other entry has accepted a newer listing in the meantime. Generations therefore follow the
// order of the changes to the folder, whichever entries race.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "config/generation_events.h"
#include "config/generation_follower.h"
#include "config/validate.h"

namespace zinniabarrow::config {

// Settings of one entry's generation_manager; config_actor derives them from the entry's settings.
struct generation_manager_settings
{
    std::string process;             // id of this entry
    std::size_t peerCount = 0;       // number of other entries, from this process's settings
    milliseconds pollInterval{1000}; // between two rounds
    // Limit on the average traffic that this entry's folder listings cause.
    std::size_t maxListBytesPerSecond = 1024;
    // Longest wait for an answer of the platform; after it a write's outcome is unknown.
    milliseconds answerTimeout{1500};
    // Longest wait for one source to send a generation's content; then the next source is tried.
    milliseconds contentTimeout{1000};
    // After a start, the longest wait for peers' reports before this entry accepts a generation or
    // is ready.
    milliseconds peerReportTimeout{2000};
    milliseconds pushInterval{1000};      // between two pushes to processes that are behind
    milliseconds reportRetention{60'000}; // a process's report is dropped when it gets older
    std::size_t maxFilesPerRead = 32;     // files requested at once
    folder_limits limits;                 // limits on the size of the folder
};

// Totals since construction.
struct generation_manager_counters
{
    std::uint64_t rounds = 0;              // rounds begun
    std::uint64_t acceptedGenerations = 0; // generations whose row this entry wrote
    // States of the folder that failed validation. A state that stays is counted once.
    std::uint64_t refusedFolders = 0;
    std::uint64_t conflicts = 0;           // row writes refused because the row had changed
    std::uint64_t unknownWrites = 0;       // row writes with an unknown outcome
    std::uint64_t confirmedByReadBack = 0; // of unknownWrites: a later read showed them applied
    std::uint64_t changedListings = 0;     // rounds abandoned because the folder changed
    std::uint64_t platformFailures = 0;    // requests that the platform did not answer or refused
    std::uint64_t invalidRows = 0;         // accepted rows that did not parse
    // Outdated rows (the table was restored from a backup) for which this entry proposed the
    // content in force again under a higher number.
    std::uint64_t rewrittenRows = 0;
};

// Does no I/O, like generation_follower: the code that owns it (config_actor) passes in events with
// the current time and executes the returned actions. Every push interval the manager pushes its
// report (number and digest, not the content) to processes whose latest report has a lower
// generation. Not thread-safe.
class generation_manager
{
public:
    generation_manager(generation_manager_settings settings, random_generator random,
                       time_point now);

    generation_actions handle(const generation_event &event, time_point now);

    // True once this entry may serve callers, and from then on. By then it has read the table's row
    // and received a report of every peer, or has waited for peerReportTimeout, and the highest
    // generation that it knows of is in force here. While the table is unreachable, it learns of
    // generations only from other processes. Without any generation it is ready only if it has read
    // in the table that none was ever accepted.
    bool isReady() const { return m_isReady; }

    const generation_follower &follower() const { return m_follower; }
    std::uint64_t generation() const { return m_follower.generation(); }
    generation_report report() const { return m_follower.report(); }
    const generation_manager_counters &counters() const { return m_counters; }

    // Latest report of each other process.
    std::vector<received_report> reports() const;

    // The state of one version of a file. Version 0 asks about the removal of the file.
    file_status statusOf(const std::string &name, std::uint64_t version) const;
    // Status of all files that are in the folder or in the generation in force.
    std::vector<file_status> files() const;
    // Problems of the folder as last listed; empty unless it is refused.
    const std::vector<problem> &problems() const;

private:
    enum class phase {
        Idle,
        ReadingRow,
        FirstListing,
        ReadingFiles,
        SecondListing,
        WritingContent,
        Committing, // writing the accepted row
    };

    // Content of a file of the folder, kept to read only files that changed.
    struct cached_file
    {
        std::uint64_t version = 0;
        std::string content;
    };

    // The latest state of the folder that failed validation.
    struct refusal
    {
        std::string folderDigest; // of the file versions
        std::vector<problem> problems;
    };

    // The generation that this entry is writing.
    struct proposal
    {
        accepted_row row;
        std::string proposedText;                 // the content, whose digest is in `row`
        std::vector<std::string> unneededDigests; // contents to remove once the row is written
    };

    generation_actions onTick(time_point now);
    generation_actions onScanNow(time_point now);
    generation_actions onReport(const report_received &event, time_point now);
    generation_actions onAcceptedRowRead(const accepted_row_read &event, time_point now);
    generation_actions onFolderListed(const folder_listed &event, time_point now);
    generation_actions onFilesRead(const files_read &event, time_point now);
    generation_actions onContentWritten(const content_written &event, time_point now);
    generation_actions onGenerationCommitted(const generation_committed &event, time_point now);

    generation_actions beginRound(time_point now);
    generation_actions handleFirstListing(const file_versions &listing, time_point now);
    generation_actions readChangedFiles(time_point now);
    generation_actions handleSecondListing(const file_versions &listing, time_point now);
    generation_actions validateFolder(time_point now);
    generation_actions proposeGeneration(std::string text, std::string folderDigest,
                                         time_point now);
    generation_actions pushToLaggingProcesses(time_point now);

    bool isListingDue(time_point now) const;
    void scheduleListing(const file_versions &listing, time_point now);

    template <typename Query>
    generation_actions sendQuery(phase nextPhase, Query query, time_point now);
    bool isAwaited(phase expected, std::uint64_t request) const;
    generation_actions endRound(time_point nextRound);
    generation_actions failRound(time_point now);
    generation_actions abandonChangedRound(time_point now);
    bool isRowOutdated() const;
    bool havePeersReported(time_point now) const;
    void rememberListing(const file_versions &listing);
    std::vector<folder_file> filesOfListing();
    file_status refusedStatus(file_status status) const;
    void updateReadiness(time_point now);
    std::string newOperationId();

    generation_manager_settings m_settings;
    random_generator m_random;
    generation_follower m_follower;
    generation_manager_counters m_counters;
    time_point m_startedAt;
    bool m_isReady = false;

    phase m_phase = phase::Idle;
    std::uint64_t m_lastRequest = 0;
    time_point m_deadline{}; // of the pending request
    time_point m_nextRound{};
    time_point m_nextListing{}; // rounds before this time read only the row
    time_point m_nextScan{};    // an operator's `scan_now` is ignored before this time
    time_point m_nextPush{};

    bool m_isRowRead = false;       // read at least once since the start
    std::uint64_t m_rowVersion = 0; // as read at the beginning of the round
    accepted_row m_acceptedRow;     // as read at the beginning of the round
    // Highest generation known when the reading of the row began. A row with a lower generation is
    // outdated. A generation that became known later proves nothing, because it may have been
    // accepted after the row was read.
    std::uint64_t m_highestKnownAtRead = 0;
    std::string m_unconfirmedOperation; // id of the row write whose outcome is not known yet
    file_versions m_roundListing;       // first listing of this round
    std::optional<file_versions> m_latestListing;     // latest one, also of an abandoned round
    std::string m_latestFolderDigest;                 // of m_latestListing
    file_versions m_removedVersions;                  // last version of each file that was removed
    std::map<std::string, cached_file> m_cachedFiles; // by name without FolderPrefix
    refusal m_refusal;
    std::optional<proposal> m_proposal;
    std::map<std::string, received_report> m_reports; // latest, by process id
};

} // namespace zinniabarrow::config
