// Callers of a soak: they submit jobs of all kinds, read and cancel them, on connections that stay
// open until the process is gone, and note what they see in the timeline.
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "base/time.h"
#include "soak/timeline.h"

namespace zinniabarrow::soak {

// The kinds of jobs, as bits: a load draws among those of its options.
enum job_kinds : unsigned {
    SingleTask = 1U << 0,
    Chain = 1U << 1, // steps that follow each other
    Gang = 1U << 2,
    Speculative = 1U << 3,
    LongRunning = 1U << 4,
    Scheduled = 1U << 5, // runs at given times
    Checkpointing = 1U << 6,
    AllJobKinds = (1U << 7) - 1
};

struct load_options
{
    std::string prefix = "/holds/";     // of the queue's path
    unsigned kinds = AllJobKinds;       // of jobs
    int callersPerEntry = 8;            //
    int maxPauseMs = 300;               // between a caller's requests
    int taskMillicores = 500;           // of each task
    int taskEstimateMs = 300;           // as the jobs state it
    std::size_t maxJobs = 500;          // submitted in the soak
    std::size_t maxLongRunningJobs = 2; // of these; each of two tasks
    bool hasCancels = true;             //
    milliseconds answerTimeout{20'000}; // after it, a request counts as timed out
};

// May be stopped and started again.
class soak_load
{
public:
    // `entryAddresses`: host:port of the callers' listener of each entry. Job ids are unique to the
    // process, and do not depend on the seed alone.
    soak_load(std::vector<std::string> entryAddresses, unsigned seed, timeline &record,
              load_options options);
    ~soak_load();
    soak_load(const soak_load &) = delete;
    soak_load &operator=(const soak_load &) = delete;

    void start();
    // Sends no new requests; waits for the answer to each open one, or the end of its connection.
    void stop();
    // Whether callers cancel jobs from now on. Jobs are cancelled only if the options allow it.
    void cancelSome(bool isCancelling);
    // After stop(): asks one entry after another for each accepted job, until it is shown as ended
    // (a long-running one: as running) or the time is over. Returns how many jobs are not.
    std::size_t readAllJobs(time_point giveUpAt);
    std::size_t acceptedCount() const;

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace zinniabarrow::soak
