// Queue of outgoing RPC calls that wait for a sender thread. Decides which call is sent next.
//
// Calls to one target keep their order and are sent one at a time, so a target that does not answer
// occupies one thread at most. All targets that did not answer their last call together may occupy
// all threads but one. If unresponsive targets could occupy all threads, calls to targets that
// answer at once would have to wait for timeouts, and an agent's report could arrive after its
// lease has expired.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include <json/json.h>

namespace zinniabarrow {

struct rpc_call
{
    std::string target;
    std::string method;
    Json::Value parameters;
    // Gets the result; nullopt: no answer, or an error.
    std::function<void(std::optional<Json::Value>)> done;
};

struct send_queue_limits
{
    std::size_t threads = 4;                // threads that send calls
    std::size_t maxWaitingPerTarget = 1024; // calls
    std::size_t maxWaiting = 16'384;        // calls, to all targets together
};

// Not thread-safe; rpc_sender (app/outbound_calls.h) uses it under a mutex.
class send_queue
{
public:
    explicit send_queue(const send_queue_limits &limits)
        : m_limits(limits)
    { }

    // Returns false if the queue is full, for this target or in all.
    bool push(rpc_call call);
    // Removes and returns the next call to send; nullopt if no waiting call may be sent now. Call
    // completeCall() when the returned call has ended.
    std::optional<rpc_call> take();
    bool canTake() const { return nextTarget() != nullptr; }
    // The taken call to this target was answered or has failed.
    void completeCall(const std::string &target, bool isAnswered);

private:
    struct waiting_call
    {
        std::uint64_t sequence = 0;
        rpc_call call;
    };
    struct target_state
    {
        std::deque<waiting_call> waiting;
        bool isInFlight = false;
        bool isUnresponsive = false; // did not answer its last call
    };
    // Targets with a waiting call and none in flight, by the sequence number of their oldest call.
    using ready_targets = std::map<std::uint64_t, std::string>;

    ready_targets &readyTargetsFor(const target_state &state)
    {
        return state.isUnresponsive ? m_readyUnresponsive : m_readyResponsive;
    }
    const std::string *nextTarget() const;

    send_queue_limits m_limits;
    std::map<std::string, target_state> m_targets;
    ready_targets m_readyResponsive;
    ready_targets m_readyUnresponsive;
    std::size_t m_waitingCount = 0;
    std::size_t m_unresponsiveInFlight = 0;
    std::uint64_t m_lastSequence = 0;
};

} // namespace zinniabarrow
