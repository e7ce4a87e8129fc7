// Stand-ins of the external systems. Each is an HTTP server; faults are injected by request.
#pragma once

#include <atomic>
#include <memory>
#include <optional>
#include <string>

#include "runtime/http.h"

namespace zinniabarrow::standins {

// Every stand-in accepts POST /fault {"pause_ms": n}: it pauses all work for n ms.

// Implements the fault "pause_ms": the threads of a stand-in block in `waitWhilePaused` until the
// pause is over.
class pause_gate
{
public:
    void pauseFor(milliseconds pauseTime) { m_pausedUntil = monotonic_clock::now() + pauseTime; }
    void waitWhilePaused() const;

private:
    std::atomic<time_point> m_pausedUntil{time_point{}};
};

// A running stand-in, as the start functions below return it; serves until it is destroyed.
class standin
{
public:
    virtual ~standin() = default;
    virtual socket_address address() const = 0;
};

// The platform's table and object store, with limited write and read rates.
// POST /fault {"down": bool, "slow_ms": n, "lose_answers": n}: `down` answers 503 without any
// effect; `slow_ms` delays each request; `lose_answers` executes the next n writes but answers them
// with an empty 500, which leaves their outcome unknown.
struct platform_options
{
    socket_address address;
    // Rows and objects; a transaction or write above the rate is refused with 429. A larger
    // transaction than this is executed if it is the first of its second.
    unsigned writesPerSecond = 500;
    unsigned readsPerSecond = 2000; // calls; above the rate likewise
};
std::unique_ptr<standin> startPlatform(const platform_options &options);

// A worker: runs tasks under leases and starts every task without a check of its own capacity.
// POST /fault {"fail_starts": bool, "slow_ms": n, "unreachable": bool, "lose_answers": n,
// "noise": {job: x}}: `fail_starts` lets each task fail right after its start; `slow_ms` delays
// each call; `unreachable` answers 503 without any effect; `lose_answers` executes the next n calls
// but answers them with an empty 500; `noise`: each running task of that job adds x times the
// service time to each request that the instance's upstream echoes, or a part of it in proportion
// to the CPU limit while the task is throttled. GET /noise returns the sum over all tasks.
struct worker_options
{
    socket_address address;
    std::string id;
    std::int64_t millicores = 16'000;    // written to the trace; not enforced
    std::int64_t bytes = 60'000'000'000; // likewise
    std::int64_t accelerators = 0;       // likewise
    milliseconds usageLag{500};          // age of the usage samples that are reported
};
std::unique_ptr<standin> startWorker(const worker_options &options);

// An upstream that echoes each request. It has `slots` for concurrent requests; more are served
// too, but counted as overruns. GET /executions returns the counts. GET /large?bytes=n answers n
// bytes of patternBytes(); &framing=chunked omits the length; &extra=n appends n bytes beyond
// `bytes`, so more than a declared length. POST /fault {"slow_ms": n, "cut": n, "unavailable":
// bool, "target_ms": n}: `slow_ms` is added to the service time; `cut` closes the connection
// halfway through the next n answers; `unavailable` answers 503; `target_ms` sets the latency
// target and resets the counts of answers within and beyond it.
struct upstream_options
{
    socket_address address;
    std::string id;
    unsigned slots = 8;
    unsigned connections = 64; // served at the same time; more wait
    milliseconds workTime{5};  // service time of one request
    // Worker on the same instance, if any; the noise of its tasks slows the upstream.
    std::optional<socket_address> workerAddress{};
};
std::unique_ptr<standin> startUpstream(const upstream_options &options);

// Bytes [`offset`, `offset + size`) of the body of /large, with which tests compare an answer.
std::string patternBytes(std::uint64_t offset, std::size_t size);

} // namespace zinniabarrow::standins
