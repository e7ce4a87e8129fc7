// Quarantine: jobs that fail wherever they run, and workers on which everything fails.
//
// A job that failed on several distinct workers is quarantined, and so is one that failed many
// times on two; a worker on which several distinct jobs failed, with no success of a task started
// since, is set aside. After a cool-down one task probes: a success clears the record, a failure
// doubles the cool-down. At most a part of each pool is set aside at the same time.
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
    bool enabled = true;                          //
    std::size_t jobWorkerLimit = 3;               // distinct workers on which a job fails
    std::size_t jobFailureLimit = 10;             // or so many failures, on two workers at least
    std::size_t workerJobLimit = 3;               // distinct jobs that fail on a worker
    duration window = std::chrono::minutes(10);   // older failures are forgotten
    duration coolDown = std::chrono::minutes(2);  // first stay
    duration maxCoolDown = std::chrono::hours(1); // doubling ends here
    duration probeTimeout =
            std::chrono::minutes(2);  // without a verdict by then another probe may go
    double maxQuarantinedShare = 0.1; // part of a pool's workers, one worker at least
    std::size_t maxRecords = 8192;    // records kept for jobs, and as many for workers
};

class quarantine
{
public:
    explicit quarantine(const quarantine_settings &settings);

    // `poolSize`: workers of the pool that are in service.
    void recordFailure(const std::string &job, const std::string &worker, const std::string &pool,
                       std::size_t poolSize, const std::string &reason, time_point now);
    // A task started at `startedAt` finished, or ran long enough to prove both job and worker.
    void recordSuccess(const std::string &job, const std::string &worker, time_point startedAt);
    void forgetWorker(const std::string &worker) { m_workers.erase(worker); }

    // Clear, or the cool-down is over and no probe is out.
    bool canStartJob(const std::string &job, time_point now) const;
    bool canUseWorker(const std::string &worker, time_point now) const;
    // A task of the job starts on the worker; where one of them is not clear, it is the probe.
    void recordStart(const std::string &job, const std::string &worker, time_point now);

    bool isWorkerQuarantined(const std::string &worker) const;
    bool isJobQuarantined(const std::string &job) const;
    // Would be set aside, but the cap is reached: place there last.
    bool isSuspect(const std::string &worker) const;
    std::vector<std::string> quarantinedWorkers() const;
    // Empty when the job is clear.
    std::string reasonFor(const std::string &job, time_point now) const;

private:
    struct failure_event
    {
        std::string counterpart; // the worker of a job's failure, the job of a worker's
        time_point at;
    };
    struct failure_record
    {
        std::vector<failure_event> failures; // distinct counterparts within the window
        std::size_t failureCount = 0;        // of failures, repeated ones too
        bool quarantined = false;            // quarantined or set aside
        duration coolDown{0};                // of this stay
        time_point coolDownUntil;            // end of the cool-down
        time_point probeUntil;               // a probe is out until then
        std::string pool;                    // of a worker
        std::string reason;                  // last failure
    };
    using failure_record_map = std::unordered_map<std::string, failure_record>;

    void addFailure(failure_record &record, const std::string &counterpart, time_point now) const;
    void startOrExtend(failure_record &record, time_point now) const;
    static bool canTry(const failure_record_map &records, const std::string &name, time_point now);
    static bool isQuarantined(const failure_record_map &records, const std::string &name);
    static void dropCounterpart(failure_record_map &records, const std::string &counterpart);
    bool shouldQuarantineJob(const failure_record &record, std::size_t poolSize) const;
    bool canQuarantineWorker(const std::string &pool, std::size_t poolSize) const;
    void prune(failure_record_map &records, time_point now) const;

    quarantine_settings m_settings;
    failure_record_map m_jobs;
    failure_record_map m_workers;
};

} // namespace zinniabarrow::placement
