// Blocking calls to the platform and to other processes, on threads of their own so that the actors
// never wait for I/O.
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

// Makes calls to the platform on one thread, in order. An entry has one executor each for claims
// (rows by which no request with an idempotency key is executed twice), tasks and the configuration
// folder, so that a slow read of tasks or configuration does not delay a claim.
class platform_executor
{
public:
    using platform_call = std::function<void(platform_client &)>;

    platform_executor(actor_runtime &system, const socket_address &platform, milliseconds timeout);
    ~platform_executor();

    // Returns false when 4096 calls are queued; the call is then not made.
    bool enqueue(platform_call platformCall);
    void stop();

private:
    platform_client m_client;
    std::unique_ptr<event_actor<platform_call>> m_actor;
};

// Calls JSON-RPC methods of other processes. Calls to one target keep their order; a target that
// does not answer does not delay calls to others (see send_queue).
class rpc_sender
{
public:
    // Gets the result; nullopt when no answer came or the answer was an error.
    using answer_callback = std::function<void(std::optional<Json::Value>)>;

    rpc_sender(actor_runtime &system, milliseconds timeout, metrics &counters);
    ~rpc_sender();

    // `onAnswer` runs on a thread of the sender and must not block: let it post an event to an
    // actor and do nothing else. Returns false when too many calls are queued or the sender was
    // stopped; `onAnswer` is then not called.
    bool call(const std::string &target, const std::string &method, const Json::Value &parameters,
              answer_callback onAnswer);
    // Queued calls are still sent by the threads that are busy; a call that no thread takes is
    // dropped without `onAnswer`.
    void stop();

private:
    void sendQueuedCalls(std::size_t thread);
    std::optional<rpc_call> takeOrGoIdle(std::size_t thread);
    void wakeIdleThread();
    bool send(const rpc_call &message);

    milliseconds m_timeout;
    metrics &m_metrics;
    http_pools m_pools;
    std::mutex m_mutex; // guards m_queue, m_idleThreads and m_isStopped
    send_queue m_queue;
    std::vector<std::size_t> m_idleThreads; // indices of threads without a call
    bool m_isStopped = false;
    std::vector<std::unique_ptr<actor_thread>> m_threads;
};

} // namespace zinniabarrow
