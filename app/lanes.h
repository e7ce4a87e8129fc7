// Lanes: duties that do blocking I/O for the others, so that no deciding duty ever waits.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <json/json.h>

#include "base/time.h"
#include "runtime/duty.h"
#include "runtime/http.h"
#include "runtime/metrics.h"
#include "runtime/platform_client.h"

namespace zinniabarrow {

// One thread that talks to the platform. Claims, work and configuration each have their own lane:
// a slow scan in one must not delay a claim.
class platform_lane
{
public:
    using job = std::function<void(platform_client &)>;

    platform_lane(duty_system &system, const socket_address &platform, milliseconds timeout);
    ~platform_lane();

    // False when the lane is full: the job will not run.
    bool run(job work);
    void stop();

private:
    platform_client m_client;
    std::unique_ptr<duty<job>> m_duty;
};

// Calls JSON-RPC methods of other processes. Calls to one target keep their order; a target that
// does not answer delays only the targets of its own thread.
class rpc_sender
{
public:
    using answer = std::function<void(std::optional<Json::Value>)>; // nothing: no result came

    rpc_sender(duty_system &system, milliseconds timeout, metrics &counters);
    ~rpc_sender();

    // `done` runs on the sender's thread; it only posts to a ring. False when the ring is full:
    // `done` will not run.
    bool call(const std::string &target, const std::string &method, const Json::Value &parameters,
              answer done);
    void stop();

private:
    struct outgoing
    {
        std::string target;
        std::string method;
        Json::Value parameters;
        answer done;
    };

    void send(outgoing &message);

    milliseconds m_timeout;
    metrics &m_metrics;
    http_pools m_pools;
    std::vector<std::unique_ptr<duty<outgoing>>> m_threads;
};

} // namespace zinniabarrow
