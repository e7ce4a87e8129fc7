// Links between the processes of a soak: each connection that a process makes passes a relay, which
// can delay it, hold back or drop what it carries, cut or reset it.
#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <sys/types.h>

#include "base/names.h"
#include "base/time.h"
#include "runtime/http.h"
#include "soak/timeline.h"
#include "standins/link.h"

namespace zinniabarrow::soak {

// The directions are those of the connection: requests go from the process that made it.
enum class link_fault_kind {
    Slow,           // each chunk of data is delayed
    Cut,            // connections are reset, new ones are refused or reset
    Silent,         // connections stay open, and what is sent arrives once the fault is over
    RequestsSilent, // the same for requests only
    AnswersSilent,  // the same for answers only
    AnswersDropped, // requests arrive, answers are discarded
    Reset,          // once: all open connections are reset
    ResetAtCaller,  // once: the target keeps its half of each connection, which carries no data
    ResetAtTarget,  // once: the caller keeps its half of each connection, which carries no data
};

// As in the timeline.
inline constexpr name_table<link_fault_kind, 9> LinkFaultNames{{
        {link_fault_kind::Slow, "link_slow"},
        {link_fault_kind::Cut, "link_cut"},
        {link_fault_kind::Silent, "link_silent"},
        {link_fault_kind::RequestsSilent, "link_requests_silent"},
        {link_fault_kind::AnswersSilent, "link_answers_silent"},
        {link_fault_kind::AnswersDropped, "link_answers_dropped"},
        {link_fault_kind::Reset, "link_reset"},
        {link_fault_kind::ResetAtCaller, "link_reset_at_caller"},
        {link_fault_kind::ResetAtTarget, "link_reset_at_target"},
}};

// Whether the fault happens at one moment, without an end.
constexpr bool isMomentary(link_fault_kind kind)
{
    return kind == link_fault_kind::Reset || kind == link_fault_kind::ResetAtCaller
           || kind == link_fault_kind::ResetAtTarget;
}

// A fault of the link by which `from` makes connections to `to`.
struct link_fault
{
    link_fault_kind kind = link_fault_kind::Slow;
    std::string from;      // "entry-0", "agent-1", "worker-1"; AnyCaller: all that come by the link
    std::string to;        // the same, or "store"
    milliseconds delay{0}; // of each chunk; only with Slow
    bool operator==(const link_fault &) const = default;
};

// `from` of a link that all processes use to reach its target, since they learn one address of it.
inline constexpr const char *AnyCaller = "any";

struct link_definition
{
    std::string from; // or AnyCaller
    std::string to;
    socket_address listen;
    socket_address target;
};

// All links of a soak. Functions may be called from any thread. Each fault is noted in the timeline
// with the target "entry-0>store".
class soak_links
{
public:
    soak_links(const std::vector<link_definition> &definitions, timeline &events);
    ~soak_links();
    soak_links(const soak_links &) = delete;
    soak_links &operator=(const soak_links &) = delete;

    // Where `from` reaches `to`, as "ip:port". Throws std::out_of_range for an unknown link.
    std::string addressFor(const std::string &from, const std::string &to) const;
    // Callers of a link from AnyCaller are told apart by the process that made a connection. To be
    // called after each start of a process, before faults that name it.
    void setProcess(const std::string &name, pid_t process);

    // Of faults that overlap on a link the one that was applied last takes effect. Both throw
    // std::out_of_range for an unknown link.
    void apply(const link_fault &fault);
    void end(const link_fault &fault); // ignored if the fault is not applied, or momentary
    void endAll();

private:
    struct relayed_link;

    relayed_link &find(const std::string &from, const std::string &to) const;
    static void reset(relayed_link &affected, const link_fault &fault);
    void update(relayed_link &affected);
    void note(const link_fault &fault, bool isBegin);
    std::vector<std::string> processNames() const;
    std::string callerAt(const socket_address &callerEnd, const socket_address &linkEnd) const;

    timeline &m_events;
    mutable std::mutex m_processesMutex; // relays take it, so it is not held while they are awaited
    std::map<std::string, pid_t> m_processes;
    std::mutex m_faultsMutex;
    std::vector<std::unique_ptr<relayed_link>> m_links;
};

} // namespace zinniabarrow::soak
