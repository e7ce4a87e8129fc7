// The entry's part in configuration: watches the operators' folder, accepts it as a generation by
// a conditional write, and keeps the highest accepted generation in force.
//
// One round: read the accepted row and, where it is time, list the folder, read the files that
// changed, list again, validate the whole, write the content, write the row on the condition that
// it is still as read. Since the row is read before the folder is listed, a row that is still
// unchanged at the write means that no newer listing was accepted meanwhile: generations follow the
// folder's own order, whichever entries race.
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

struct generation_manager_settings
{
    std::string process;             // id of this entry
    std::size_t peerCount = 0;       // other entries that the settings name
    milliseconds pollInterval{1000}; // between two looks at the accepted row
    std::size_t maxListBytesPerSecond =
            1024;                         // a second that looking at the folder may cost at most
    milliseconds answerTimeout{1500};     // of the platform; then the outcome is unknown
    milliseconds contentTimeout{1000};    // of a content; then the next source is asked
    milliseconds peerListenTime{2000};    // a newcomer without the table listens this long to peers
    milliseconds pushInterval{1000};      // between two pushes to processes that lag
    milliseconds reportRetention{60'000}; // silence after which a process's report is dropped
    std::size_t maxFilesPerRead = 32;     // files asked for at once
    folder_limits limits;                 //
};

struct generation_manager_counters
{
    std::uint64_t rounds = 0;              // begun
    std::uint64_t acceptedGenerations = 0; // generations that this entry wrote
    std::uint64_t refusedFolders = 0;      // folders refused
    std::uint64_t conflicts = 0;           // writes that lost to another entry
    std::uint64_t unknownWrites = 0;       // answers lost
    std::uint64_t confirmedByReadBack = 0; // of these, found in force by reading back
    std::uint64_t changedListings = 0;     // rounds given up because the folder changed meanwhile
    std::uint64_t platformFailures = 0;    // questions that the platform did not answer
    std::uint64_t invalidRows = 0;         // accepted rows that could not be read
    std::uint64_t rewrittenRows = 0;       // rows found lower than what is in force, written anew
};

class generation_manager
{
public:
    generation_manager(generation_manager_settings settings, random_generator random,
                       time_point now);

    generation_actions handle(const generation_event &event, time_point now);

    // True once this entry may serve: it works by the highest generation that the table knows, or,
    // with the table out of reach, that its peers know. Stays true.
    bool isReady() const { return m_isReady; }

    const generation_follower &follower() const { return m_follower; }
    std::uint64_t generation() const { return m_follower.generation(); }
    generation_report report() const { return m_follower.report(); }
    const generation_manager_counters &counters() const { return m_counters; }

    // Reports of the other processes, as last heard.
    std::vector<received_report> reports() const;

    // What became of one version of a file; version 0 asks for its removal.
    file_status statusOf(const std::string &name, std::uint64_t version) const;
    // All files of the folder and of the generation in force.
    std::vector<file_status> files() const;
    // Why the folder as last read is refused; none: it is not.
    const std::vector<problem> &problems() const;

private:
    enum class phase {
        Idle,
        ReadingRow,
        FirstListing,
        ReadingFiles,
        SecondListing,
        WritingContent,
        Committing,
    };

    struct cached_file
    {
        std::uint64_t version = 0;
        std::string content;
    };

    struct refusal
    {
        std::string folderDigest; // digest of the file versions that were refused
        std::vector<problem> problems;
    };

    // What is to become the next generation.
    struct proposal
    {
        accepted_row row;
        std::string text;
        std::vector<std::string> unneededDigests; // digests that no row names any more afterwards
    };

    generation_actions onTick(time_point now);
    generation_actions onScanNow(time_point now);
    generation_actions onReport(const report_received &event, time_point now);
    generation_actions onAcceptedRow(const accepted_row_read &event, time_point now);
    generation_actions onListed(const folder_listed &event, time_point now);
    generation_actions onFiles(const files_read &event, time_point now);
    generation_actions onContent(const content_written &event, time_point now);
    generation_actions onCommitted(const generation_committed &event, time_point now);

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

    template <typename Question>
    generation_actions sendQuery(phase next, Question query, time_point now);
    bool isAwaited(phase expected, std::uint64_t request) const;
    generation_actions endRound(time_point nextRound);
    generation_actions failRound(time_point now);
    generation_actions restartRound(time_point now);
    bool isRowOutdated() const;
    bool hasHeardPeers(time_point now) const;
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
    time_point m_deadline{};    // of the question being waited for
    time_point m_nextRound{};   //
    time_point m_nextListing{}; // the row is read in every round, the folder listed less often
    time_point m_nextScan{};    // earliest answer to another `look_now`
    time_point m_nextPush{};    //

    bool m_isRowRead = false;               // in this life
    std::uint64_t m_rowVersion = 0;         // as read at the beginning of the round
    accepted_row m_acceptedRow;             //
    std::uint64_t m_highestKnownAtRead = 0; // generation known when the row was asked for
    std::string m_unconfirmedOperation;     // a write whose answer was lost
    file_versions m_listing;                // of this round
    std::optional<file_versions> m_latestListing;
    std::string m_latestFolderDigest; // its digest
    file_versions m_removedVersions;  // last versions of files that have left the folder
    std::map<std::string, cached_file> m_cachedFiles;
    refusal m_refusal;
    std::optional<proposal> m_proposal;
    std::map<std::string, received_report> m_reports;
};

} // namespace zinniabarrow::config
