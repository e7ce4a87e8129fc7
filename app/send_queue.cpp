#include "app/send_queue.h"

#include <algorithm>
#include <utility>

namespace zinniabarrow {

bool send_queue::push(rpc_call call)
{
    if (m_waitingCount >= m_limits.maxWaiting)
        return false;
    auto &state = m_targets[call.target];
    if (state.waiting.size() >= m_limits.maxWaitingPerTarget)
        return false;
    const auto sequence = ++m_lastSequence;
    if (state.waiting.empty() && !state.isInFlight)
        readyTargetsFor(state)[sequence] = call.target;
    state.waiting.push_back({sequence, std::move(call)});
    ++m_waitingCount;
    return true;
}

// Returns the target whose oldest call has waited longest, of those that may use a thread now; null
// if there is none.
const std::string *send_queue::nextTarget() const
{
    const auto maxUnresponsive = std::max<std::size_t>(m_limits.threads, 2) - 1;
    const bool canTakeUnresponsive =
            !m_readyUnresponsive.empty() && m_unresponsiveInFlight < maxUnresponsive;
    if (m_readyResponsive.empty())
        return canTakeUnresponsive ? &m_readyUnresponsive.begin()->second : nullptr;
    const bool isUnresponsiveOldest =
            canTakeUnresponsive
            && m_readyUnresponsive.begin()->first < m_readyResponsive.begin()->first;
    return isUnresponsiveOldest ? &m_readyUnresponsive.begin()->second
                                : &m_readyResponsive.begin()->second;
}

std::optional<rpc_call> send_queue::take()
{
    const auto *target = nextTarget();
    if (target == nullptr)
        return std::nullopt;
    auto &state = m_targets.at(*target);
    auto first = std::move(state.waiting.front());
    state.waiting.pop_front();
    --m_waitingCount;
    readyTargetsFor(state).erase(first.sequence);
    state.isInFlight = true;
    m_unresponsiveInFlight += state.isUnresponsive ? 1 : 0;
    return std::move(first.call);
}

void send_queue::completeCall(const std::string &target, bool isAnswered)
{
    const auto found = m_targets.find(target);
    auto &state = found->second;
    m_unresponsiveInFlight -= state.isUnresponsive ? 1 : 0;
    state.isInFlight = false;
    state.isUnresponsive = !isAnswered;
    if (!state.waiting.empty())
        readyTargetsFor(state)[state.waiting.front().sequence] = target;
    else if (isAnswered)
        m_targets.erase(found);
}

} // namespace zinniabarrow
