// Stand-ins for the outside systems: each is one HTTP server with faults by command.
#pragma once

#include <atomic>
#include <memory>
#include <optional>
#include <string>

#include "runtime/http.h"

namespace zinniabarrow::standins {

// Every stand-in also takes POST /fault {"pause_ms": n}: it does nothing for n ms, then goes on.

// While paused, every thread of the stand-in that passes `wait` stays there.
class pause_gate
{
public:
    void pauseFor(milliseconds pauseTime) { m_pausedUntil = monotonic_clock::now() + pauseTime; }
    void waitWhilePaused() const;

private:
    std::atomic<time_point> m_pausedUntil{time_point{}};
};

// A running stand-in; it serves until destroyed.
class standin
{
public:
    virtual ~standin() = default;
    virtual socket_address address() const = 0;
};

// The platform's table and object store, with the budgets of the brief.
// POST /fault {"down": bool, "slow_ms": n, "lose_answers": n}: down answers 503 before any effect;
// lose_answers drops the answers of the next n writes after they took effect.
struct platform_options
{
    socket_address address;
    unsigned writesPerSecond = 500; // rows; a transaction above the budget is refused with 429
    unsigned readsPerSecond = 2000; // calls
};
std::unique_ptr<standin> startPlatform(const platform_options &options);

// A worker: runs tasks under leases and starts whatever it is given.
// POST /fault {"fail_starts": bool, "slow_ms": n, "unreachable": bool, "lose_answers": n,
// "noise": {job: x}}: each running task of that job slows the instance's upstream by x times its
// service time, by less when it is throttled. GET /noise tells the sum.
struct worker_options
{
    socket_address address;
    std::string id;
    std::int64_t millicores = 16'000;    // for the trace; nothing is checked against it
    std::int64_t bytes = 60'000'000'000; // the same
    std::int64_t accelerators = 0;       // the same
    milliseconds usageLag{500};          // usage is reported as it was this long ago
};
std::unique_ptr<standin> startWorker(const worker_options &options);

// An upstream: `slots` requests at a time, `connections` at most, echoes the request it was sent.
// GET /large?bytes=n answers n pattern bytes; &framing=chunked without a length; &extra=n sends n
// bytes more than it declares. POST /fault {"slow_ms": n, "cut": n, "unavailable": bool,
// "target_ms": n}: cut ends the next n answers midway; target_ms begins to count anew how many
// answers took longer.
struct upstream_options
{
    socket_address address;
    std::string id;
    unsigned slots = 8;
    unsigned connections = 64;
    milliseconds workTime{5}; // time one request takes
    std::optional<socket_address>
            workerAddress{}; // on the same instance: its tasks' noise slows this one
};
std::unique_ptr<standin> startUpstream(const upstream_options &options);

// Bytes `offset` to `offset + size` of the body of /large.
std::string patternBytes(std::uint64_t offset, std::size_t size);

} // namespace zinniabarrow::standins
