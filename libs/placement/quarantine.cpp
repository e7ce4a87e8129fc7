#include "placement/quarantine.h"

#include <algorithm>
#include <cmath>

namespace zinniabarrow::placement {

namespace {

constexpr std::size_t LongestReason = 200; // characters kept of a failure's reason

} // namespace

quarantine::quarantine(const quarantine_settings &settings)
    : m_settings(settings)
{ }

void quarantine::failed(const std::string &job, const std::string &worker, const std::string &pool,
                        std::size_t poolSize, const std::string &reason, time_point now)
{
    if (!m_settings.enabled)
        return;
    // One side is already known to be bad: the failure says nothing new about the other. Without
    // this, one broken worker would quarantine every job that probes it, and one bad job would have
    // every worker set aside.
    if (isTripped(m_workers, worker)) {
        trip(m_workers.at(worker), now);
        return;
    }
    if (isTripped(m_jobs, job)) {
        trip(m_jobs.at(job), now);
        return;
    }
    prune(m_jobs, now);
    prune(m_workers, now);
    auto &jobRecord = m_jobs[job];
    jobRecord.reason = reason.substr(0, LongestReason);
    note(jobRecord, worker, now);
    auto &workerRecord = m_workers[worker];
    workerRecord.pool = pool;
    note(workerRecord, job, now);
    if (workerRecord.failures.size() >= m_settings.workerJobs && maySetAside(pool, poolSize)) {
        trip(workerRecord, now);
        dropCounterpart(m_jobs, worker);
        return;
    }
    if (mustQuarantine(jobRecord, poolSize)) {
        trip(jobRecord, now);
        dropCounterpart(m_workers, job);
    }
}

void quarantine::succeeded(const std::string &job, const std::string &worker, time_point startedAt)
{
    // A task that started before the first failure proves nothing: a worker whose old tasks go on
    // while each new one fails must not look healthy.
    const auto clears = [startedAt](const record &entry) {
        return entry.failures.empty() || startedAt >= entry.failures.front().at;
    };
    const auto jobFound = m_jobs.find(job);
    if (jobFound != m_jobs.end() && clears(jobFound->second))
        m_jobs.erase(jobFound);
    const auto workerFound = m_workers.find(worker);
    if (workerFound != m_workers.end() && clears(workerFound->second))
        m_workers.erase(workerFound);
}

bool quarantine::jobMayStart(const std::string &job, time_point now) const
{
    return mayTry(m_jobs, job, now);
}

bool quarantine::workerMayTake(const std::string &worker, time_point now) const
{
    return mayTry(m_workers, worker, now);
}

void quarantine::started(const std::string &job, const std::string &worker, time_point now)
{
    if (isTripped(m_jobs, job))
        m_jobs.at(job).probeUntil = now + m_settings.probeFor;
    if (isTripped(m_workers, worker))
        m_workers.at(worker).probeUntil = now + m_settings.probeFor;
}

bool quarantine::isSetAside(const std::string &worker) const
{
    return isTripped(m_workers, worker);
}

bool quarantine::isQuarantined(const std::string &job) const
{
    return isTripped(m_jobs, job);
}

bool quarantine::isSuspect(const std::string &worker) const
{
    const auto found = m_workers.find(worker);
    return found != m_workers.end() && !found->second.tripped
           && found->second.failures.size() >= m_settings.workerJobs;
}

std::vector<std::string> quarantine::setAsideWorkers() const
{
    std::vector<std::string> workers;
    for (const auto &[worker, entry] : m_workers) {
        if (entry.tripped)
            workers.push_back(worker);
    }
    return workers;
}

std::string quarantine::reasonFor(const std::string &job, time_point now) const
{
    const auto found = m_jobs.find(job);
    if (found == m_jobs.end() || !found->second.tripped)
        return "";
    const auto &entry = found->second;
    const auto wait = millisecondsUntil(entry.until, now) / 1000;
    return "job " + job + " failed on " + std::to_string(entry.failures.size())
           + " distinct workers (limit " + std::to_string(m_settings.jobWorkers)
           + "), the last time with: " + entry.reason + "; one task tries again in "
           + std::to_string(wait) + " s";
}

// Packing may send the tasks of a bad job back and forth between two workers, or the pool may have
// no more than two: it would never reach the number of distinct workers, and fail for ever.
bool quarantine::mustQuarantine(const record &entry, std::size_t poolSize) const
{
    const auto distinct = entry.failures.size();
    return distinct >= m_settings.jobWorkers
           || (entry.count >= m_settings.jobFailures
               && distinct >= std::min<std::size_t>(poolSize, 2));
}

// Keeps distinct counterparts in the order of their last failure, within the window.
void quarantine::note(record &entry, const std::string &counterpart, time_point now) const
{
    std::erase_if(entry.failures, [&](const failure &old) {
        return old.counterpart == counterpart || old.at + m_settings.window < now;
    });
    entry.count = entry.failures.empty() ? 0 : entry.count;
    ++entry.count;
    entry.failures.push_back({counterpart, now});
    const auto kept = std::max(m_settings.jobWorkers, m_settings.workerJobs);
    if (entry.failures.size() > kept)
        entry.failures.erase(entry.failures.begin());
}

void quarantine::trip(record &entry, time_point now) const
{
    // Tasks that started before the stay may fail one after the other: only a probe's failure,
    // which comes after the cool-down, makes the next one longer.
    if (entry.tripped && now < entry.until)
        return;
    entry.coolDown = entry.tripped ? std::min(entry.coolDown * 2, m_settings.longestCoolDown)
                                   : m_settings.coolDown;
    entry.tripped = true;
    entry.until = now + entry.coolDown;
    entry.probeUntil = time_point{};
}

bool quarantine::mayTry(const record_map &records, const std::string &name, time_point now)
{
    const auto found = records.find(name);
    if (found == records.end() || !found->second.tripped)
        return true;
    return now >= found->second.until && now >= found->second.probeUntil;
}

bool quarantine::isTripped(const record_map &records, const std::string &name)
{
    const auto found = records.find(name);
    return found != records.end() && found->second.tripped;
}

void quarantine::dropCounterpart(record_map &records, const std::string &counterpart)
{
    for (auto &[name, entry] : records) {
        if (entry.tripped)
            continue;
        std::erase_if(entry.failures,
                      [&](const failure &old) { return old.counterpart == counterpart; });
    }
}

// A wave of bad jobs makes every worker look broken. Without a cap the pool would be empty and good
// work would wait; with it, at most this part is lost until the bad jobs are quarantined.
bool quarantine::maySetAside(const std::string &pool, std::size_t poolSize) const
{
    std::size_t setAside = 0;
    for (const auto &[worker, entry] : m_workers)
        setAside += entry.tripped && entry.pool == pool ? 1 : 0;
    const auto cap = static_cast<std::size_t>(
            std::floor(static_cast<double>(poolSize) * m_settings.largestSetAside));
    return setAside < std::max<std::size_t>(cap, 1) && poolSize > 1;
}

// Bounded memory: beyond the limit, first what is out of the window goes, then all that is clear.
void quarantine::prune(record_map &records, time_point now) const
{
    if (records.size() < m_settings.maxRecords)
        return;
    std::erase_if(records, [&](const auto &item) {
        const auto &entry = item.second;
        return !entry.tripped
               && (entry.failures.empty() || entry.failures.back().at + m_settings.window < now);
    });
    if (records.size() < m_settings.maxRecords)
        return;
    std::erase_if(records, [](const auto &item) { return !item.second.tripped; });
    if (records.size() >= m_settings.maxRecords)
        records.clear();
}

} // namespace zinniabarrow::placement
