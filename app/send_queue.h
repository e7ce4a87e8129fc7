// Calls that wait for a thread, and which of them goes out next.
//
// Calls to one target keep their order and go out one at a time, so a target that does not answer
// holds one thread. Those that did not answer last time hold all threads but one between them: were
// they to hold them all, a call that would be answered at once would wait for their timeouts, and
// an agent's report would come after its lease.
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
    std::function<void(std::optional<Json::Value>)> done;
};

struct send_queue_limits
{
    std::size_t threads = 4;                // that take calls
    std::size_t maxWaitingPerTarget = 1024; // calls to one target
    std::size_t maxWaiting = 16'384;        //
};

class send_queue
{
public:
    explicit send_queue(const send_queue_limits &limits)
        : m_limits(limits)
    { }

    // False when too many wait.
    bool push(rpc_call call);
    // None while no waiting call may go out. Each one that is taken has to be settled.
    std::optional<rpc_call> take();
    bool canTake() const { return nextTarget() != nullptr; }
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
        bool isUnresponsive = false; // did not answer last time
    };
    // Targets with no call in flight, by the number of their first waiting call.
    using ready_targets = std::map<std::uint64_t, std::string>;

    ready_targets &readyTargetsLike(const target_state &state)
    {
        return state.isUnresponsive ? m_unresponsive : m_ready;
    }
    const std::string *nextTarget() const;

    send_queue_limits m_limits;
    std::map<std::string, target_state> m_targets;
    ready_targets m_ready;
    ready_targets m_unresponsive;
    std::size_t m_waitingCount = 0;
    std::size_t m_unresponsiveInFlight = 0;
    std::uint64_t m_lastSequence = 0;
};

} // namespace zinniabarrow
