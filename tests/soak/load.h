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

enum class job_kind {
    SingleTask,
    Chain, // steps that follow each other
    Gang,
    Speculative,
    LongRunning,
    Scheduled, // runs at given times
    Checkpointing
};

inline const std::vector<job_kind> AllJobKinds = {
        job_kind::SingleTask,  job_kind::Chain,     job_kind::Gang,         job_kind::Speculative,
        job_kind::LongRunning, job_kind::Scheduled, job_kind::Checkpointing};

struct load_options
{
    std::string prefix = "/holds/";            // of the queue's path
    std::vector<job_kind> kinds = AllJobKinds; // that are drawn, one as often as another
    int callersPerEntry = 8;
    int maxPauseMs = 300;               // between a caller's requests
    int taskMillicores = 500;           // of each task
    int taskEstimateMs = 300;           // as the jobs state it
    std::size_t maxJobs = 2000;         // submitted in the soak
    std::size_t maxLongRunningJobs = 2; // of these; each of two tasks
    bool hasCancels = true;
    milliseconds answerTimeout{20'000}; // after it, a request counts as timed out
};

// May be stopped and started again.
class soak_load
{
public:
    // `entryAddresses`: host:port of the callers' listener of each entry. In the timeline they are
    // entry-0, entry-1 and so on, in this order.
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

    struct impl;

private:
    std::unique_ptr<impl> m_impl;
};

} // namespace zinniabarrow::soak
