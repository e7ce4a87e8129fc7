#include "soak/links.h"

#include <algorithm>
#include <stdexcept>

#include <fmt/core.h>

#include "soak/socket_owner.h"

namespace zinniabarrow::soak {

using standins::link;
using standins::link_state;
using standins::reset_reach;

namespace {

link_state stateOf(link_fault_kind kind)
{
    switch (kind) {
    case link_fault_kind::Slow:
        return link_state::Slow;
    case link_fault_kind::Cut:
        return link_state::Cut;
    case link_fault_kind::Silent:
        return link_state::Blackholed;
    case link_fault_kind::RequestsSilent:
        return link_state::RequestsHeld;
    case link_fault_kind::AnswersSilent:
        return link_state::AnswersHeld;
    case link_fault_kind::AnswersDropped:
        return link_state::AnswersDropped;
    case link_fault_kind::Reset:
    case link_fault_kind::ResetAtCaller:
    case link_fault_kind::ResetAtTarget:
        break;
    }
    return link_state::Passing;
}

reset_reach reachOf(link_fault_kind kind)
{
    if (kind == link_fault_kind::ResetAtCaller)
        return reset_reach::Caller;
    return kind == link_fault_kind::ResetAtTarget ? reset_reach::Target : reset_reach::BothEnds;
}

} // namespace

struct soak_links::relayed_link
{
    std::string from;
    std::string to;
    link relay;
    std::vector<link_fault> faults; // that apply now, in the order in which they began

    // The last fault that concerns the caller; none: the link passes.
    const link_fault *lastFaultOf(const std::string &caller) const
    {
        const auto concerns = [&caller](const link_fault &fault) {
            return fault.from == caller || fault.from == AnyCaller;
        };
        const auto last = std::find_if(faults.rbegin(), faults.rend(), concerns);
        return last == faults.rend() ? nullptr : &*last;
    }
};

soak_links::soak_links(const std::vector<link_definition> &definitions, timeline &events)
    : m_events(events)
{
    for (const auto &defined : definitions) {
        standins::caller_lookup lookup;
        if (defined.from == AnyCaller) {
            lookup = [this](const socket_address &callerEnd, const socket_address &linkEnd) {
                return callerAt(callerEnd, linkEnd);
            };
        }
        m_links.push_back(std::unique_ptr<relayed_link>(
                new relayed_link{defined.from,
                                 defined.to,
                                 {defined.listen, defined.target, std::move(lookup)},
                                 {}}));
    }
}

soak_links::~soak_links() = default;

std::string soak_links::addressFor(const std::string &from, const std::string &to) const
{
    return find(from, to).relay.address();
}

void soak_links::setProcess(const std::string &name, pid_t process)
{
    const std::lock_guard lock(m_processesMutex);
    m_processes[name] = process;
}

void soak_links::apply(const link_fault &fault)
{
    const std::lock_guard lock(m_faultsMutex);
    auto &affected = find(fault.from, fault.to);
    note(fault, true);
    if (isMomentary(fault.kind))
        return reset(affected, fault);
    affected.faults.push_back(fault);
    update(affected);
}

void soak_links::end(const link_fault &fault)
{
    const std::lock_guard lock(m_faultsMutex);
    auto &affected = find(fault.from, fault.to);
    const auto applied = std::find(affected.faults.begin(), affected.faults.end(), fault);
    if (applied == affected.faults.end())
        return;
    affected.faults.erase(applied);
    update(affected);
    note(fault, false);
}

void soak_links::endAll()
{
    const std::lock_guard lock(m_faultsMutex);
    for (const auto &affected : m_links) {
        const auto ended = std::exchange(affected->faults, {});
        update(*affected);
        for (const auto &fault : ended)
            note(fault, false);
    }
}

soak_links::relayed_link &soak_links::find(const std::string &from, const std::string &to) const
{
    relayed_link *ofAll = nullptr;
    for (const auto &known : m_links) {
        if (known->to != to)
            continue;
        if (known->from == from)
            return *known;
        if (known->from == AnyCaller)
            ofAll = known.get();
    }
    if (ofAll == nullptr)
        throw std::out_of_range(fmt::format("no link {}>{}", from, to));
    return *ofAll;
}

// Callers of which no fault was applied alone follow the link's own state.
void soak_links::update(relayed_link &affected)
{
    const auto stateFor = [&affected](const std::string &caller) {
        const auto *fault = affected.lastFaultOf(caller);
        return fault == nullptr ? std::pair(link_state::Passing, milliseconds(0))
                                : std::pair(stateOf(fault->kind), fault->delay);
    };
    const auto [state, delay] = stateFor(affected.from);
    affected.relay.setState(state, delay);
    if (affected.from != AnyCaller)
        return;
    for (const auto &name : processNames()) {
        const auto [ownState, ownDelay] = stateFor(name);
        affected.relay.setStateOf(name, ownState, ownDelay);
    }
}

void soak_links::reset(relayed_link &affected, const link_fault &fault)
{
    if (fault.from == affected.from)
        affected.relay.resetConnections(reachOf(fault.kind));
    else
        affected.relay.resetConnectionsOf(fault.from, reachOf(fault.kind));
}

void soak_links::note(const link_fault &fault, bool isBegin)
{
    const auto detail = fault.delay > milliseconds(0) ? fmt::format("{} ms", fault.delay.count())
                                                      : std::string();
    m_events.note(fault_noted{std::string(nameOf(LinkFaultNames, fault.kind)),
                              fmt::format("{}>{}", fault.from, fault.to), isBegin, detail});
}

std::vector<std::string> soak_links::processNames() const
{
    const std::lock_guard lock(m_processesMutex);
    std::vector<std::string> names;
    for (const auto &[name, process] : m_processes)
        names.push_back(name);
    return names;
}

std::string soak_links::callerAt(const socket_address &callerEnd,
                                 const socket_address &linkEnd) const
{
    std::map<pid_t, std::string> names;
    std::vector<pid_t> processes;
    {
        const std::lock_guard lock(m_processesMutex);
        for (const auto &[name, process] : m_processes) {
            names[process] = name;
            processes.push_back(process);
        }
    }
    const auto owner = socketOwner(callerEnd, linkEnd, processes);
    return owner ? names.at(*owner) : "";
}

} // namespace zinniabarrow::soak
