// Plan of the disruptions of a soak: drawn from a seed, without I/O.
#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/names.h"
#include "base/time.h"
#include "soak/links.h"

namespace zinniabarrow::soak {

// A planned stop by SIGTERM; the process starts again at the end of the disruption, or when it has
// exited.
struct stop_process
{
    std::string process;
    // Another SIGTERM and a SIGHUP while it stops; since the start of the soak.
    std::optional<milliseconds> secondSignalAt = {};
};

// SIGKILL; the process starts again at the end of the disruption.
struct kill_process
{
    std::string process;
};

// SIGSTOP, and SIGCONT at the end of the disruption.
struct freeze_process
{
    std::string process;
};

// SIGHUP: the settings file may have changed. Has no end.
struct reload_process
{
    std::string process;
};

enum class store_fault_kind { Unavailable, Silent, Slow, AnswersLost };

// As in the timeline.
inline constexpr name_table<store_fault_kind, 4> StoreFaultNames{{
        {store_fault_kind::Unavailable, "store_unavailable"},
        {store_fault_kind::Silent, "store_silent"},
        {store_fault_kind::Slow, "store_slow"},
        {store_fault_kind::AnswersLost, "store_answers_lost"},
}};

struct store_fault
{
    store_fault_kind kind = store_fault_kind::Unavailable;
    milliseconds delay{0};      // of each call; only with Slow
    int lostAnswerInterval = 0; // each n-th answer is lost; only with AnswersLost
};

enum class worker_fault_kind {
    Crash, // it ends without a word
    Leave, // it announces that it leaves, and ends at worker_fault::leavesAt
    Hang,  // it answers nothing; its runs go on
};

// A worker that has ended starts again at the end of the disruption.
struct worker_fault
{
    worker_fault_kind kind = worker_fault_kind::Crash;
    int worker = 0;
    milliseconds leavesAt{0}; // since the start of the soak; only with Leave
};

using disruption_action = std::variant<stop_process, kill_process, freeze_process, reload_process,
                                       store_fault, worker_fault, link_fault>;

// Times are counted from the start of the soak.
struct disruption
{
    milliseconds from{0};
    milliseconds until{0};
    disruption_action action;
};

// A link by which the process `from` makes connections to `to`.
struct link_ends
{
    std::string from;
    std::string to;
};

struct plan_options
{
    int entries = 3;
    int agents = 6;                    // each with a worker
    std::vector<link_ends> links = {}; // that can be disrupted
    bool hasPlannedStopsOnly = false;
    milliseconds firstAt{1500};  // no disruption begins earlier
    milliseconds endsAt{20'000}; // each disruption has ended by then; the calm span follows
};

std::string entryName(int index);
std::string agentName(int index);

// Sorted by their beginnings. One process, worker or link, or the store, has no two disruptions at
// a time, but for a process that is frozen or gets SIGHUP while it stops.
std::vector<disruption> drawPlan(unsigned seed, const plan_options &options);

} // namespace zinniabarrow::soak
