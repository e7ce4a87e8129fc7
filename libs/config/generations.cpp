// Sections: Requests and rounds | Timing | Steps of a round | Reports of other processes |
// Status for operators

#include "config/generations.h"

#include <algorithm>

#include <fmt/format.h>

#include "base/errors.h"

namespace zinniabarrow::config {

namespace {

constexpr std::size_t MaxKeptContents = 8; // of earlier generations; lagging processes fetch them
constexpr std::size_t MaxReports = 10'000; // processes whose reports are kept

void append(generation_actions &actions, generation_actions more)
{
    std::move(more.begin(), more.end(), std::back_inserter(actions));
}

// Versions of the files that belong to the folder, by name without FolderPrefix.
file_versions versionsOf(const std::vector<stored_object> &objects)
{
    file_versions versions;
    for (const auto &object : objects) {
        if (!object.name.starts_with(FolderPrefix))
            continue;
        const auto name = object.name.substr(FolderPrefix.size());
        if (isFolderFile(name))
            versions[name] = object.version;
    }
    return versions;
}

std::uint64_t versionIn(const file_versions &files, const std::string &name)
{
    const auto found = files.find(name);
    return found == files.end() ? 0 : found->second;
}

} // namespace

generation_manager::generation_manager(generation_manager_settings settings,
                                       random_generator random, time_point now)
    : m_settings(std::move(settings))
    , m_random(random)
    , m_follower(follower_settings{m_settings.process, "entry", m_settings.contentTimeout})
    , m_startedAt(now)
    , m_nextRound(now)
    , m_nextPush(now)
{ }

generation_actions generation_manager::handle(const generation_event &event, time_point now)
{
    struct visitor
    {
        generation_manager &manager;
        time_point now;
        generation_actions operator()(const tick &) { return manager.onTick(now); }
        generation_actions operator()(const report_received &e) { return manager.onReport(e, now); }
        generation_actions operator()(const scan_now &) { return manager.onScanNow(now); }
        generation_actions operator()(const content_read &e)
        {
            return manager.m_follower.handle(e, now);
        }
        generation_actions operator()(const accepted_row_read &e)
        {
            return manager.onAcceptedRowRead(e, now);
        }
        generation_actions operator()(const folder_listed &e)
        {
            return manager.onFolderListed(e, now);
        }
        generation_actions operator()(const files_read &e) { return manager.onFilesRead(e, now); }
        generation_actions operator()(const content_written &e)
        {
            return manager.onContentWritten(e, now);
        }
        generation_actions operator()(const generation_committed &e)
        {
            return manager.onGenerationCommitted(e, now);
        }
    };
    auto actions = std::visit(visitor{*this, now}, event);
    updateReadiness(now);
    return actions;
}

// --- Requests and rounds -------------------------------------------------------------------------

template <typename Query>
generation_actions generation_manager::sendQuery(phase nextPhase, Query query, time_point now)
{
    m_phase = nextPhase;
    m_deadline = now + m_settings.answerTimeout;
    query.request = ++m_lastRequest;
    return {std::move(query)};
}

bool generation_manager::isAwaited(phase expected, std::uint64_t request) const
{
    return m_phase == expected && m_lastRequest == request;
}

generation_actions generation_manager::endRound(time_point nextRound)
{
    m_phase = phase::Idle;
    m_nextRound = nextRound;
    return {};
}

generation_actions generation_manager::failRound(time_point now)
{
    ++m_counters.platformFailures;
    m_nextListing = now;
    return endRound(now + m_settings.pollInterval);
}

// The folder changed while it was read, so the contents that were read may be a mixture of states
// that no operator wrote.
generation_actions generation_manager::abandonChangedRound(time_point now)
{
    ++m_counters.changedListings;
    m_nextListing = now;
    return endRound(now + m_settings.pollInterval);
}

// --- Timing --------------------------------------------------------------------------------------

generation_actions generation_manager::onTick(time_point now)
{
    generation_actions actions;
    if (m_phase != phase::Idle && now >= m_deadline) {
        m_counters.unknownWrites += m_phase == phase::Committing;
        failRound(now);
    }
    if (m_phase == phase::Idle && now >= m_nextRound)
        append(actions, beginRound(now));
    append(actions, m_follower.handle(tick{}, now));
    append(actions, pushToLaggingProcesses(now));
    return actions;
}

// Operators and their scripts may write files often; one scan in each poll interval serves them
// all.
generation_actions generation_manager::onScanNow(time_point now)
{
    if (now < m_nextScan)
        return {};
    m_nextScan = now + m_settings.pollInterval;
    m_nextListing = now;
    if (m_phase != phase::Idle)
        return {};
    return beginRound(now);
}

bool generation_manager::isListingDue(time_point now) const
{
    return now >= m_nextListing || isRowOutdated();
}

// If every entry listed a large folder in every round, the listings would cause more traffic than
// all other control messages. So larger folders are listed less often. An operator's command
// doesn't wait for the next listing, since it causes a `scan_now`.
void generation_manager::scheduleListing(const file_versions &listing, time_point now)
{
    constexpr std::size_t ListingOverheadBytes = 40; // of each file, in addition to its name
    std::size_t bytes = 0;
    for (const auto &[name, version] : listing)
        bytes += FolderPrefix.size() + name.size() + ListingOverheadBytes;
    const milliseconds pause(1000 * bytes / m_settings.maxListBytesPerSecond);
    m_nextListing = now + std::max(pause, m_settings.pollInterval);
}

generation_actions generation_manager::beginRound(time_point now)
{
    ++m_counters.rounds;
    m_highestKnownAtRead = m_follower.highestKnownGeneration();
    return sendQuery(phase::ReadingRow, read_accepted_row{}, now);
}

// --- Steps of a round ----------------------------------------------------------------------------

generation_actions generation_manager::onAcceptedRowRead(const accepted_row_read &event,
                                                         time_point now)
{
    if (!isAwaited(phase::ReadingRow, event.request))
        return {};
    if (!event.isAnswered)
        return failRound(now);
    try {
        m_acceptedRow =
                event.row.version == 0 ? accepted_row{} : acceptedRowFromJson(event.row.value);
    } catch (const error &) {
        ++m_counters.invalidRows;
        return endRound(now + m_settings.pollInterval);
    }
    m_rowVersion = event.row.version;
    m_isRowRead = true;
    generation_actions actions;
    // If the answer to an earlier write was lost, the row's operation id tells whether the write
    // took effect. Without this check the entry would treat the generation that it wrote itself as
    // that of another entry.
    if (m_proposal && !m_unconfirmedOperation.empty()
        && m_acceptedRow.operationId == m_unconfirmedOperation) {
        m_unconfirmedOperation.clear();
        ++m_counters.confirmedByReadBack;
        append(actions,
               m_follower.adoptContent(m_acceptedRow.generation, m_proposal->proposedText));
    }
    append(actions, m_follower.considerAcceptedGeneration(m_acceptedRow.generation,
                                                          m_acceptedRow.digest, now));
    const bool hasHighestKnown =
            m_follower.generation() > 0 && m_follower.generation() >= m_highestKnownAtRead;
    // The row may have been restored from an older backup. An entry that has just started and knows
    // only this row could assign a generation number that is already in force at another entry. So
    // it accepts no generation before it has received its peers' reports.
    if (!havePeersReported(now) || !isListingDue(now)) {
        append(actions, endRound(now + m_settings.pollInterval));
    } else if (isRowOutdated() && hasHighestKnown) {
        ++m_counters.rewrittenRows;
        const auto folderDigest = digestOf(m_follower.content().files);
        append(actions, proposeGeneration(*m_follower.contentTextFor(m_follower.digest()),
                                          folderDigest, now));
    } else {
        append(actions, sendQuery(phase::FirstListing, list_folder{}, now));
    }
    return actions;
}

// True if the table was restored from an older backup: its row has a lower generation than one that
// was in force, or another content for the same generation. Following the row would revert an
// accepted configuration. So the content in force is written again under a higher number, or, if
// this entry doesn't have that content, the current state of the folder is proposed.
bool generation_manager::isRowOutdated() const
{
    if (m_acceptedRow.generation < m_highestKnownAtRead)
        return true;
    return m_acceptedRow.generation > 0 && m_acceptedRow.generation == m_follower.generation()
           && m_acceptedRow.digest != m_follower.digest();
}

generation_actions generation_manager::onFolderListed(const folder_listed &event, time_point now)
{
    const bool isFirst = isAwaited(phase::FirstListing, event.request);
    if (!isFirst && !isAwaited(phase::SecondListing, event.request))
        return {};
    if (!event.isAnswered)
        return failRound(now);
    const auto listing = versionsOf(event.objects);
    rememberListing(listing);
    return isFirst ? handleFirstListing(listing, now) : handleSecondListing(listing, now);
}

generation_actions generation_manager::handleFirstListing(const file_versions &listing,
                                                          time_point now)
{
    m_roundListing = listing;
    scheduleListing(listing, now);
    const auto folderDigest = digestOf(listing);
    const bool isAccepted = m_acceptedRow.generation > 0
                            && m_acceptedRow.folderDigest == folderDigest && !isRowOutdated();
    if (isAccepted || (listing.empty() && m_acceptedRow.generation == 0)) {
        m_refusal = {};
        return endRound(now + m_settings.pollInterval);
    }
    if (m_refusal.folderDigest == folderDigest)
        return endRound(now + m_settings.pollInterval);
    // An empty listing may mean that the object store lost its data; accepting it would stop every
    // service. To remove everything, an operator keeps one file that contains an empty object.
    if (listing.empty()) {
        ++m_counters.refusedFolders;
        m_refusal = {folderDigest,
                     {{"", 0, "", "no file at all",
                       "one file or more; an empty configuration is a file with {}"}}};
        return endRound(now + m_settings.pollInterval);
    }
    return readChangedFiles(now);
}

generation_actions generation_manager::readChangedFiles(time_point now)
{
    read_files query;
    for (const auto &[name, version] : m_roundListing) {
        const auto cached = m_cachedFiles.find(name);
        const bool isCached = cached != m_cachedFiles.end() && cached->second.version == version;
        if (!isCached && query.names.size() < m_settings.maxFilesPerRead)
            query.names.push_back(std::string(FolderPrefix) + name);
    }
    if (query.names.empty())
        return sendQuery(phase::SecondListing, list_folder{}, now);
    return sendQuery(phase::ReadingFiles, std::move(query), now);
}

generation_actions generation_manager::onFilesRead(const files_read &event, time_point now)
{
    if (!isAwaited(phase::ReadingFiles, event.request))
        return {};
    if (!event.isAnswered)
        return failRound(now);
    std::size_t readCount = 0;
    for (const auto &object : event.objects) {
        if (!object.name.starts_with(FolderPrefix))
            continue;
        const auto name = object.name.substr(FolderPrefix.size());
        if (object.version != versionIn(m_roundListing, name))
            return abandonChangedRound(now);
        m_cachedFiles[name] = {object.version, object.content};
        ++readCount;
    }
    if (readCount == 0)
        return abandonChangedRound(now);
    return readChangedFiles(now);
}

generation_actions generation_manager::handleSecondListing(const file_versions &listing,
                                                           time_point now)
{
    if (listing != m_roundListing)
        return abandonChangedRound(now);
    return validateFolder(now);
}

std::vector<folder_file> generation_manager::filesOfListing()
{
    std::erase_if(m_cachedFiles,
                  [&](const auto &cached) { return !m_roundListing.contains(cached.first); });
    std::vector<folder_file> files;
    for (const auto &[name, cached] : m_cachedFiles)
        files.push_back({name, cached.content});
    return files;
}

generation_actions generation_manager::validateFolder(time_point now)
{
    auto folderCheck = checkFolder(filesOfListing(), m_settings.limits);
    const auto folderDigest = digestOf(m_roundListing);
    if (!folderCheck.isAcceptable()) {
        ++m_counters.refusedFolders;
        m_refusal = {folderDigest, std::move(folderCheck.problems)};
        return endRound(now + m_settings.pollInterval);
    }
    m_refusal = {};
    generation_content content{std::move(folderCheck.mergedConfig), m_roundListing,
                               std::move(folderCheck.merged.overriddenBy)};
    return proposeGeneration(contentText(content), folderDigest, now);
}

generation_actions generation_manager::proposeGeneration(std::string text, std::string folderDigest,
                                                         time_point now)
{
    proposal newProposal;
    newProposal.proposedText = std::move(text);
    newProposal.row.generation =
            std::max(m_acceptedRow.generation, m_follower.highestKnownGeneration()) + 1;
    newProposal.row.digest = digestOf(newProposal.proposedText);
    newProposal.row.folderDigest = std::move(folderDigest);
    newProposal.row.operationId = newOperationId();
    auto earlierDigests = m_acceptedRow.previousDigests;
    if (m_acceptedRow.generation > 0)
        earlierDigests.insert(earlierDigests.begin(), m_acceptedRow.digest);
    std::erase(earlierDigests, newProposal.row.digest);
    const auto keptCount = std::min(earlierDigests.size(), MaxKeptContents);
    newProposal.row.previousDigests.assign(earlierDigests.begin(),
                                           earlierDigests.begin()
                                                   + static_cast<std::ptrdiff_t>(keptCount));
    newProposal.unneededDigests.assign(
            earlierDigests.begin() + static_cast<std::ptrdiff_t>(keptCount), earlierDigests.end());
    m_proposal = std::move(newProposal);
    // The content is written before the row, since no process could adopt a generation whose
    // content is missing.
    const auto name = std::string(ContentPrefix) + m_proposal->row.digest;
    return sendQuery(phase::WritingContent, write_content{0, name, m_proposal->proposedText}, now);
}

generation_actions generation_manager::onContentWritten(const content_written &event,
                                                        time_point now)
{
    if (!isAwaited(phase::WritingContent, event.request))
        return {};
    if (event.result.outcome != write_outcome::Applied)
        return failRound(now);
    commit_generation commit;
    commit.transaction.operationId = m_proposal->row.operationId;
    commit.transaction.conditions = {{std::string(AcceptedRowKey), m_rowVersion}};
    commit.transaction.writes = {{std::string(AcceptedRowKey), toJson(m_proposal->row)}};
    m_unconfirmedOperation = m_proposal->row.operationId;
    return sendQuery(phase::Committing, std::move(commit), now);
}

generation_actions generation_manager::onGenerationCommitted(const generation_committed &event,
                                                             time_point now)
{
    if (!isAwaited(phase::Committing, event.request))
        return {};
    switch (event.result.outcome) {
    case write_outcome::Applied:
        break;
    case write_outcome::Conflict:
        ++m_counters.conflicts;
        m_unconfirmedOperation.clear();
        m_nextListing = now;
        return endRound(now);
    case write_outcome::Refused:
        m_unconfirmedOperation.clear();
        return failRound(now);
    case write_outcome::Unknown:
        // The write is neither assumed to be applied nor repeated: the next round begins by reading
        // the row, which tells whether it was applied.
        ++m_counters.unknownWrites;
        m_nextListing = now;
        return endRound(now);
    }
    ++m_counters.acceptedGenerations;
    m_unconfirmedOperation.clear();
    auto actions = m_follower.adoptContent(m_proposal->row.generation, m_proposal->proposedText);
    for (const auto &digest : m_proposal->unneededDigests)
        actions.push_back(remove_content{std::string(ContentPrefix) + digest});
    endRound(now + m_settings.pollInterval);
    return actions;
}

// Operation ids are unique also across restarts of a process with the same id: an operation of an
// earlier incarnation must not be taken for one of this incarnation.
std::string generation_manager::newOperationId()
{
    const auto high = static_cast<std::uint64_t>(m_random()) << 32U;
    return fmt::format("{}-{:016x}", m_settings.process, high | m_random());
}

// --- Reports of other processes ------------------------------------------------------------------

generation_actions generation_manager::onReport(const report_received &event, time_point now)
{
    const auto &process = event.report.process;
    if (process == m_settings.process)
        return {};
    if (m_reports.contains(process) || m_reports.size() < MaxReports)
        m_reports[process] = {event.report, now};
    return m_follower.handle(event, now);
}

generation_actions generation_manager::pushToLaggingProcesses(time_point now)
{
    if (now < m_nextPush)
        return {};
    m_nextPush = now + m_settings.pushInterval;
    std::erase_if(m_reports, [&](const auto &known) {
        return known.second.receivedAt + m_settings.reportRetention < now;
    });
    push_generation push{report(), {}};
    for (const auto &[process, received] : m_reports) {
        if (received.report.generation < generation())
            push.processes.push_back(process);
    }
    if (push.processes.empty())
        return {};
    return {std::move(push)};
}

std::vector<received_report> generation_manager::reports() const
{
    std::vector<received_report> all;
    for (const auto &[process, received] : m_reports)
        all.push_back(received);
    return all;
}

bool generation_manager::havePeersReported(time_point now) const
{
    if (now >= m_startedAt + m_settings.peerReportTimeout)
        return true;
    const auto entries = std::count_if(m_reports.begin(), m_reports.end(), [](const auto &known) {
        return known.second.report.role == "entry";
    });
    const bool haveAllReported = static_cast<std::size_t>(entries) >= m_settings.peerCount;
    // Until the row has been read, the entry waits for the whole timeout: a single lost answer must
    // not be taken for an outage of the table, in which the peers would be the only source.
    return haveAllReported && m_isRowRead;
}

// An entry that served callers right after its start would have no configuration or an outdated
// one, and would forward requests to services that no longer exist.
void generation_manager::updateReadiness(time_point now)
{
    if (m_isReady || generation() < m_follower.highestKnownGeneration() || !havePeersReported(now))
        return;
    const bool isNewSystem = m_isRowRead && m_acceptedRow.generation == 0;
    m_isReady = generation() > 0 || isNewSystem;
}

void generation_manager::rememberListing(const file_versions &listing)
{
    const auto &previousListing = m_latestListing ? *m_latestListing : m_follower.content().files;
    // Bounds the memory. A removed file whose version is forgotten here is shown as pending.
    if (m_removedVersions.size() > m_settings.limits.maxFiles)
        m_removedVersions.clear();
    for (const auto &[name, version] : previousListing) {
        if (!listing.contains(name))
            m_removedVersions[name] = version;
    }
    m_latestListing = listing;
    m_latestFolderDigest = digestOf(listing);
}

// --- Status for operators ------------------------------------------------------------------------

file_status generation_manager::statusOf(const std::string &name, std::uint64_t version) const
{
    file_status status;
    status.name = name;
    status.version = version;
    status.generation = generation();
    const auto &content = m_follower.content();
    const auto inForce = versionIn(content.files, name);
    const auto listed = m_latestListing ? versionIn(*m_latestListing, name) : inForce;
    const auto overridden = content.overriddenBy.find(name);
    if (inForce == version && overridden != content.overriddenBy.end()) {
        status.state = file_state::Superseded;
        status.reason = "every value is replaced by " + overridden->second;
    } else if (inForce == version && generation() > 0) {
        status.state = file_state::InForce;
    } else if (version > 0 && std::max(inForce, listed) > version) {
        status.state = file_state::Superseded;
        status.reason = fmt::format("superseded by version {}", std::max(inForce, listed));
    } else if (version > 0 && listed == 0 && versionIn(m_removedVersions, name) >= version) {
        status.state = file_state::Superseded;
        status.reason = "the file was removed";
    } else if (listed == version && !problems().empty()) {
        return refusedStatus(std::move(status));
    }
    return status;
}

// The problems belong to the state of the folder that was validated. They are not reported for a
// newer listing that is not validated yet, since that may be the one that repairs them.
const std::vector<problem> &generation_manager::problems() const
{
    static const std::vector<problem> none;
    return m_refusal.folderDigest == m_latestFolderDigest ? m_refusal.problems : none;
}

file_status generation_manager::refusedStatus(file_status status) const
{
    status.state = file_state::Refused;
    status.problems = problems();
    std::stable_partition(status.problems.begin(), status.problems.end(),
                          [&](const problem &problem) { return problem.file == status.name; });
    status.reason = toText(status.problems.front());
    return status;
}

std::vector<file_status> generation_manager::files() const
{
    auto versions = m_latestListing.value_or(file_versions{});
    for (const auto &[name, version] : m_follower.content().files) {
        if (!versions.contains(name))
            versions[name] = m_latestListing ? 0 : version;
    }
    std::vector<file_status> all;
    for (const auto &[name, version] : versions)
        all.push_back(statusOf(name, version));
    return all;
}

} // namespace zinniabarrow::config
