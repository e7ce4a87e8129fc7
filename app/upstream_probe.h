// Whether the upstream beside the agent accepts connections.
//
// A failed connection says at once that it does not; connection attempts say when it does again.
// Without this every request that the entries send here costs a retry out of their budget, and at
// low traffic callers are refused although other upstreams would answer.
#pragma once

#include <atomic>
#include <functional>
#include <memory>

#include "runtime/event_actor.h"
#include "runtime/http.h"

namespace zinniabarrow {

class upstream_probe
{
public:
    // `changed` runs on the probe's thread, first when the upstream accepts a connection.
    upstream_probe(actor_runtime &system, socket_address upstream,
                   std::function<void(bool)> onChanged);
    ~upstream_probe();

    // From any thread: a request could not connect.
    void noteUnreachable();
    void stop();

private:
    void probe();

    const socket_address m_upstream;
    std::function<void(bool)> m_onChanged;
    std::atomic<bool> m_isUp{false};

    time_point m_nextProbeAt{}; // touched by the probe's thread alone

    std::unique_ptr<actor_thread> m_thread; // last: it uses all of the above
};

} // namespace zinniabarrow
