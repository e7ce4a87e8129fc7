// The promises to callers, checked against the record of a soak alone.
//
// Faults are known by their kinds: "SIGTERM", "SIGKILL", "SIGSTOP", "SIGCONT", "SIGHUP" and "start"
// of a process; "store_unavailable", "store_silent", "store_slow" and "store_answers_lost" of the
// store; "worker_leaving", "worker_ended", "worker_hung" and "worker_started" of a worker;
// "link_reset", "link_reset_at_caller" and "link_reset_at_target", at one moment, and other faults
// with a begin and an end, of a link, whose target is "entry-0>store". A process is disturbed from
// SIGSTOP to SIGCONT and from SIGKILL to its start, a worker from its end to its start. Two kinds
// are no faults: "exit" of a process that ends by itself excuses nothing, and after "lease_lapsed"
// of a worker its ends before that count for nothing.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"
#include "soak/timeline.h"

namespace zinniabarrow::soak {

struct promise_limits
{
    milliseconds contact{4000};   // after a disturbance, until it no longer excuses anything
    milliseconds visible{2000};   // from the ack of a job until each entry knows it
    milliseconds lossSlack{200};  // a connection that ends this soon raced with its request
    milliseconds cancelled{3000}; // from the ack of a cancellation to the last start
    milliseconds restart{6000};   // of a long-running task, in calm
    milliseconds stall{3000};     // for which a job may have nothing running, in calm with room
    milliseconds finish{14000};   // from the last disturbance to the end of all jobs that can end
    milliseconds early{50};       // that an occurrence may start before its time
    int maxAttempts = 2;          // of the queue
    std::int64_t capacity = 0;    // millicores of the service; 0: stalls are not checked
};

// How much of a timeline could be judged: a check that judges nothing finds nothing.
struct judged_counts
{
    int requests = 0;        // answered or not
    int excusedRequests = 0; // without an answer, near a disturbance
    int racedRequests = 0;   // without an answer, sent as their connection ended
    int runs = 0;
    int finishedJobs = 0;     // that had to be done by the end of the timeline
    int longRunningTasks = 0; // that had to run for some time of calm
    milliseconds calm{0};     // spans without disturbances, in sum
};

judged_counts countJudged(const std::vector<timeline_item> &items, const promise_limits &limits);

// Each broken promise in words, with its times in ms since the first item. A promise whose limit
// lies after the last item is not judged.
std::vector<std::string> brokenPromises(const std::vector<timeline_item> &items,
                                        const promise_limits &limits);

} // namespace zinniabarrow::soak
