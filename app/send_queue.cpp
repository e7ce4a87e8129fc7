#include "app/send_queue.h"

#include <algorithm>
#include <utility>

namespace zinniabarrow {

bool send_queue::push(rpc_call call)
{
    if (m_waiting >= m_limits.waitingForAll)
        return false;
    auto &state = m_targets[call.target];
    if (state.waiting.size() >= m_limits.waitingForOne)
        return false;
    const auto number = ++m_lastNumber;
    if (state.waiting.empty() && !state.inFlight)
        readyAs(state)[number] = call.target;
    state.waiting.push_back({number, std::move(call)});
    ++m_waiting;
    return true;
}

// The target whose call has waited longest, of those that may have a thread; null: none.
const std::string *send_queue::next() const
{
    const auto forSilent = std::max<std::size_t>(m_limits.threads, 2) - 1;
    const bool silentToo = !m_silent.empty() && m_silentInFlight < forSilent;
    if (m_ready.empty())
        return silentToo ? &m_silent.begin()->second : nullptr;
    const bool silentFirst = silentToo && m_silent.begin()->first < m_ready.begin()->first;
    return silentFirst ? &m_silent.begin()->second : &m_ready.begin()->second;
}

std::optional<rpc_call> send_queue::take()
{
    const auto *target = next();
    if (target == nullptr)
        return std::nullopt;
    auto &state = m_targets.at(*target);
    auto first = std::move(state.waiting.front());
    state.waiting.pop_front();
    --m_waiting;
    readyAs(state).erase(first.number);
    state.inFlight = true;
    m_silentInFlight += state.silent ? 1 : 0;
    return std::move(first.call);
}

void send_queue::settled(const std::string &target, bool answered)
{
    const auto found = m_targets.find(target);
    auto &state = found->second;
    m_silentInFlight -= state.silent ? 1 : 0;
    state.inFlight = false;
    state.silent = !answered;
    if (!state.waiting.empty())
        readyAs(state)[state.waiting.front().number] = target;
    else if (answered)
        m_targets.erase(found);
}

} // namespace zinniabarrow
