// Lanes: duties that do blocking I/O for the others, so that no deciding duty ever waits.
#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include <json/json.h>

#include "app/send_queue.h"
#include "base/time.h"
#include "runtime/event_actor.h"
#include "runtime/http.h"
#include "runtime/metrics.h"
#include "runtime/platform_client.h"

namespace zinniabarrow {

// One thread that talks to the platform. Claims, work and configuration each have their own lane:
// a slow scan in one must not delay a claim.
class platform_executor
{
public:
    using platform_call = std::function<void(platform_client &)>;

    platform_executor(actor_runtime &system, const socket_address &platform, milliseconds timeout);
    ~platform_executor();

    // False when the lane is full: the job will not run.
    bool enqueue(platform_call work);
    void stop();

private:
    platform_client m_client;
    std::unique_ptr<event_actor<platform_call>> m_actor;
};

// Calls JSON-RPC methods of other processes. Calls to one target keep their order; targets that do
// not answer delay no others (send_queue).
class rpc_sender
{
public:
    using answer_callback =
            std::function<void(std::optional<Json::Value>)>; // nothing: no result came

    rpc_sender(actor_runtime &system, milliseconds timeout, metrics &counters);
    ~rpc_sender();

    // `done` runs on the sender's thread; it only posts to a ring. False when too many calls wait,
    // or the sender was stopped: `done` will not run.
    bool call(const std::string &target, const std::string &method, const Json::Value &parameters,
              answer_callback onAnswer);
    void stop();

private:
    void sendQueuedCalls(std::size_t thread);
    std::optional<rpc_call> takeOrGoIdle(std::size_t thread);
    void wakeIdleThread();
    bool send(const rpc_call &message);

    milliseconds m_timeout;
    metrics &m_metrics;
    http_pools m_pools;
    std::mutex m_mutex; // of the queue and of who rests
    send_queue m_queue;
    std::vector<std::size_t> m_idleThreads; // threads, to be woken
    bool m_stopped = false;
    std::vector<std::unique_ptr<actor_thread>> m_threads;
};

} // namespace zinniabarrow
