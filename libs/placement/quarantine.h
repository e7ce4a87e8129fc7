// Quarantine of jobs that fail on several workers, and of workers on which several jobs fail. Used
// by the scheduler.
//
// A job is quarantined when it failed on several distinct workers, or many times on two. A worker
// is quarantined when several distinct jobs failed on it and no task started since has succeeded.
// After a cool-down one task is placed as a probe: a success clears the record, a failure doubles
// the cool-down. Only a limited share of each pool's workers is quarantined at the same time.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/time.h"

namespace zinniabarrow::placement {

struct quarantine_settings
{
    bool enabled = true;
    std::size_t jobWorkerLimit = 3;   // distinct workers on which a job must fail
    std::size_t jobFailureLimit = 10; // or this many failures in total, on at least two workers
    std::size_t workerJobLimit = 3;   // distinct jobs that must fail on a worker
    duration window = std::chrono::minutes(10);      // older failures are ignored
    duration coolDown = std::chrono::minutes(2);     // first cool-down
    duration maxCoolDown = std::chrono::hours(1);    // upper bound of the doubling
    duration probeTimeout = std::chrono::minutes(2); // without a result, another probe may start
    double maxQuarantinedShare = 0.1; // share of a pool's workers; at least one worker
    std::size_t maxRecords = 8192;    // maximum number of job records, and of worker records
};

class quarantine
{
public:
    explicit quarantine(const quarantine_settings &settings);

    // A task of the job failed on the worker. `poolSize`: workers of the pool that are in service.
    void recordFailure(const std::string &job, const std::string &worker, const std::string &pool,
                       std::size_t poolSize, const std::string &reason, time_point now);
    // A task started at `startedAt` finished, or ran long enough to count as a success of its job
    // and worker. Clears the record of each, unless the task started before the record's first
    // failure.
    void recordSuccess(const std::string &job, const std::string &worker, time_point startedAt);
    // The worker was removed. Records of jobs that failed on it stay.
    void forgetWorker(const std::string &worker) { m_workers.erase(worker); }

    // True when not quarantined, or when the cool-down has ended and no probe is running.
    bool canStartJob(const std::string &job, time_point now) const;
    bool canUseWorker(const std::string &worker, time_point now) const;
    // A task of the job starts on the worker. If the job is quarantined, the task is its probe; the
    // same holds for the worker. So one task can be the probe of both.
    void recordStart(const std::string &job, const std::string &worker, time_point now);

    bool isWorkerQuarantined(const std::string &worker) const;
    bool isJobQuarantined(const std::string &job) const;
    // True if the worker would be quarantined but the pool's limit is reached: use it last.
    bool isSuspect(const std::string &worker) const;
    std::vector<std::string> quarantinedWorkers() const;
    // Why the job is quarantined, for operators; empty when it is not.
    std::string reasonFor(const std::string &job, time_point now) const;

private:
    struct failure_event
    {
        std::string counterpart; // the worker, in a job's record; the job, in a worker's
        time_point at;
    };
    struct failure_record
    {
        // Last failure of each distinct counterpart within the window.
        std::vector<failure_event> failures;
        // All failures, including repeated ones. Starts again at 1 when `failures` has no other
        // counterpart left.
        std::size_t failureCount = 0;
        bool quarantined = false;
        duration coolDown{0}; // length of the current cool-down
        time_point coolDownUntil;
        time_point probeUntil; // a probe is running until then
        std::string pool;      // for a worker
        std::string reason;    // of the last failure
    };
    using failure_record_map = std::unordered_map<std::string, failure_record>;

    void addFailure(failure_record &record, const std::string &counterpart, time_point now) const;
    // Starts the quarantine or, after the cool-down, extends it by a longer one.
    void startOrExtend(failure_record &record, time_point now) const;
    static bool canTry(const failure_record_map &records, const std::string &name, time_point now);
    static bool isQuarantined(const failure_record_map &records, const std::string &name);
    static void dropCounterpart(failure_record_map &records, const std::string &counterpart);
    // `poolSize` matters since a job can't fail on two workers in a pool of one.
    bool shouldQuarantineJob(const failure_record &record, std::size_t poolSize) const;
    bool canQuarantineWorker(const std::string &pool, std::size_t poolSize) const;
    void prune(failure_record_map &records, time_point now) const;

    quarantine_settings m_settings;
    failure_record_map m_jobs;
    failure_record_map m_workers;
};

} // namespace zinniabarrow::placement
