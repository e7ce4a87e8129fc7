#include "placement/quarantine.h"

#include <algorithm>
#include <cmath>

namespace zinniabarrow::placement {

namespace {

constexpr std::size_t MaxReasonLength = 200; // characters kept of a failure's reason

} // namespace

quarantine::quarantine(const quarantine_settings &settings)
    : m_settings(settings)
{ }

void quarantine::recordFailure(const std::string &job, const std::string &worker,
                               const std::string &pool, std::size_t poolSize,
                               const std::string &reason, time_point now)
{
    if (!m_settings.enabled)
        return;
    // If the worker is already quarantined, its failure says nothing about the job, and vice versa.
    // Otherwise one broken worker would quarantine every job that probes it, and one broken job
    // would quarantine every worker.
    if (isQuarantined(m_workers, worker)) {
        startOrExtend(m_workers.at(worker), now);
        return;
    }
    if (isQuarantined(m_jobs, job)) {
        startOrExtend(m_jobs.at(job), now);
        return;
    }
    prune(m_jobs, now);
    prune(m_workers, now);
    auto &jobRecord = m_jobs[job];
    jobRecord.reason = reason.substr(0, MaxReasonLength);
    addFailure(jobRecord, worker, now);
    auto &workerRecord = m_workers[worker];
    workerRecord.pool = pool;
    addFailure(workerRecord, job, now);
    if (workerRecord.failures.size() >= m_settings.workerJobLimit
        && canQuarantineWorker(pool, poolSize)) {
        startOrExtend(workerRecord, now);
        dropCounterpart(m_jobs, worker);
        return;
    }
    if (shouldQuarantineJob(jobRecord, poolSize)) {
        startOrExtend(jobRecord, now);
        dropCounterpart(m_workers, job);
    }
}

void quarantine::recordSuccess(const std::string &job, const std::string &worker,
                               time_point startedAt)
{
    // The success of a task that started before the first failure proves nothing: a worker whose
    // old tasks continue while each new one fails must not be considered healthy.
    const auto clearsRecord = [startedAt](const failure_record &record) {
        return record.failures.empty() || startedAt >= record.failures.front().at;
    };
    const auto jobIterator = m_jobs.find(job);
    if (jobIterator != m_jobs.end() && clearsRecord(jobIterator->second))
        m_jobs.erase(jobIterator);
    const auto workerIterator = m_workers.find(worker);
    if (workerIterator != m_workers.end() && clearsRecord(workerIterator->second))
        m_workers.erase(workerIterator);
}

bool quarantine::canStartJob(const std::string &job, time_point now) const
{
    return canTry(m_jobs, job, now);
}

bool quarantine::canUseWorker(const std::string &worker, time_point now) const
{
    return canTry(m_workers, worker, now);
}

void quarantine::recordStart(const std::string &job, const std::string &worker, time_point now)
{
    if (isQuarantined(m_jobs, job))
        m_jobs.at(job).probeUntil = now + m_settings.probeTimeout;
    if (isQuarantined(m_workers, worker))
        m_workers.at(worker).probeUntil = now + m_settings.probeTimeout;
}

bool quarantine::isWorkerQuarantined(const std::string &worker) const
{
    return isQuarantined(m_workers, worker);
}

bool quarantine::isJobQuarantined(const std::string &job) const
{
    return isQuarantined(m_jobs, job);
}

bool quarantine::isSuspect(const std::string &worker) const
{
    const auto found = m_workers.find(worker);
    return found != m_workers.end() && !found->second.quarantined
           && found->second.failures.size() >= m_settings.workerJobLimit;
}

std::vector<std::string> quarantine::quarantinedWorkers() const
{
    std::vector<std::string> workers;
    for (const auto &[worker, record] : m_workers) {
        if (record.quarantined)
            workers.push_back(worker);
    }
    return workers;
}

std::string quarantine::reasonFor(const std::string &job, time_point now) const
{
    const auto found = m_jobs.find(job);
    if (found == m_jobs.end() || !found->second.quarantined)
        return "";
    const auto &record = found->second;
    const auto waitSeconds = millisecondsUntil(record.coolDownUntil, now) / 1000;
    return "job " + job + " failed on " + std::to_string(record.failures.size())
           + " distinct workers (limit " + std::to_string(m_settings.jobWorkerLimit)
           + "), most recently with: " + record.reason + "; one task is retried in "
           + std::to_string(waitSeconds) + " s";
}

// Packing may alternate the tasks of a failing job between two workers, or the pool may have at
// most two workers. Without a limit on the number of failures, the job would never reach the limit
// of distinct workers and would fail forever.
bool quarantine::shouldQuarantineJob(const failure_record &record, std::size_t poolSize) const
{
    const auto distinctWorkers = record.failures.size();
    return distinctWorkers >= m_settings.jobWorkerLimit
           || (record.failureCount >= m_settings.jobFailureLimit
               && distinctWorkers >= std::min<std::size_t>(poolSize, 2));
}

// Keeps the distinct counterparts within the window, in the order of their last failure.
void quarantine::addFailure(failure_record &record, const std::string &counterpart,
                            time_point now) const
{
    std::erase_if(record.failures, [&](const failure_event &old) {
        return old.counterpart == counterpart || old.at + m_settings.window < now;
    });
    record.failureCount = record.failures.empty() ? 0 : record.failureCount;
    ++record.failureCount;
    record.failures.push_back({counterpart, now});
    const auto maxKept = std::max(m_settings.jobWorkerLimit, m_settings.workerJobLimit);
    if (record.failures.size() > maxKept)
        record.failures.erase(record.failures.begin());
}

void quarantine::startOrExtend(failure_record &record, time_point now) const
{
    // Tasks that started before the quarantine may still fail one after the other. Only the failure
    // of a probe, which comes after the cool-down, doubles the next cool-down.
    if (record.quarantined && now < record.coolDownUntil)
        return;
    record.coolDown = record.quarantined ? std::min(record.coolDown * 2, m_settings.maxCoolDown)
                                         : m_settings.coolDown;
    record.quarantined = true;
    record.coolDownUntil = now + record.coolDown;
    record.probeUntil = time_point{};
}

bool quarantine::canTry(const failure_record_map &records, const std::string &name, time_point now)
{
    const auto found = records.find(name);
    if (found == records.end() || !found->second.quarantined)
        return true;
    return now >= found->second.coolDownUntil && now >= found->second.probeUntil;
}

bool quarantine::isQuarantined(const failure_record_map &records, const std::string &name)
{
    const auto found = records.find(name);
    return found != records.end() && found->second.quarantined;
}

void quarantine::dropCounterpart(failure_record_map &records, const std::string &counterpart)
{
    for (auto &[name, record] : records) {
        if (record.quarantined)
            continue;
        std::erase_if(record.failures,
                      [&](const failure_event &old) { return old.counterpart == counterpart; });
    }
}

// A wave of failing jobs makes every worker look broken. Without a limit the pool would have no
// usable worker and healthy jobs would wait. With the limit at most maxQuarantinedShare of the
// workers is unused until the failing jobs are quarantined.
bool quarantine::canQuarantineWorker(const std::string &pool, std::size_t poolSize) const
{
    std::size_t quarantinedCount = 0;
    for (const auto &[worker, record] : m_workers)
        quarantinedCount += record.quarantined && record.pool == pool ? 1 : 0;
    const auto cap = static_cast<std::size_t>(
            std::floor(static_cast<double>(poolSize) * m_settings.maxQuarantinedShare));
    return quarantinedCount < std::max<std::size_t>(cap, 1) && poolSize > 1;
}

// Bounds the memory: beyond the limit, removes first the records without a failure in the window,
// then all that are not quarantined, then everything.
void quarantine::prune(failure_record_map &records, time_point now) const
{
    if (records.size() < m_settings.maxRecords)
        return;
    std::erase_if(records, [&](const auto &item) {
        const auto &record = item.second;
        return !record.quarantined
               && (record.failures.empty() || record.failures.back().at + m_settings.window < now);
    });
    if (records.size() < m_settings.maxRecords)
        return;
    std::erase_if(records, [](const auto &item) { return !item.second.quarantined; });
    if (records.size() >= m_settings.maxRecords)
        records.clear();
}

} // namespace zinniabarrow::placement
