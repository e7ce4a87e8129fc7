// Tracks whether the upstream beside the agent accepts connections.
//
// It counts as down as soon as a connection fails, and as up once a connection attempt of the probe
// succeeds. Without the probe, every request that the entries send to a dead upstream would cost a
// retry from their budget, and at low traffic callers would be refused although other upstreams
// could answer.
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
    // `onChanged` gets true when the upstream accepts connections and false when it is down. It
    // runs on the probe's thread, for the first time when the upstream accepts a connection.
    upstream_probe(actor_runtime &system, socket_address upstream,
                   std::function<void(bool)> onChanged);
    ~upstream_probe();

    // Reports that a request could not connect. May be called on any thread.
    void reportUnreachable();
    void stop();

private:
    void probe();

    const socket_address m_upstream;
    std::function<void(bool)> m_onChanged;
    std::atomic<bool> m_isUp{false};

    time_point m_nextProbeAt{}; // used only on the probe's thread

    std::unique_ptr<actor_thread> m_thread; // last: it uses all members above
};

} // namespace zinniabarrow
