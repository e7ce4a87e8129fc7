// Log texts of worker_pool: why a task finds no worker, and why serving runs are late.
#include <algorithm>
#include <map>
#include <string>

#include <fmt/core.h>

#include "base/names.h"
#include "jobs/worker_pool.h"

namespace zinniabarrow::jobs {

namespace {

constexpr name_table<unfit_reason, 16> UnfitReasonNames{{
        {unfit_reason::None, "fit"},
        {unfit_reason::ServiceMismatch, "other_service"},
        {unfit_reason::NotAccepting, "not_accepting"},
        {unfit_reason::Evacuated, "evacuated"},
        {unfit_reason::Silent, "silent"},
        {unfit_reason::Quarantined, "set_aside"},
        {unfit_reason::LabelMismatch, "other_label"},
        {unfit_reason::OtherRack, "other_rack"},
        {unfit_reason::BestEffortFull, "full"},
        {unfit_reason::WouldCauseLateness, "makes_late"},
        {unfit_reason::Avoided, "avoided"},
        {unfit_reason::LeftToHome, "left_to_home"},
        {unfit_reason::RefusedByAgent, "refused"},
        {unfit_reason::NoProcessors, "no_processors"},
        {unfit_reason::NoMemory, "no_memory"},
        {unfit_reason::NoAccelerators, "no_accelerators"},
}};

bool lacksRoom(unfit_reason reason)
{
    return reason == unfit_reason::RefusedByAgent || reason == unfit_reason::NoProcessors
           || reason == unfit_reason::NoMemory || reason == unfit_reason::NoAccelerators;
}

// A best-effort task reserves no processors: what keeps it waiting may be its neighbours instead.
bool isLeftWaiting(unfit_reason reason)
{
    return reason == unfit_reason::BestEffortFull || reason == unfit_reason::WouldCauseLateness;
}

std::int64_t gapBesideLongRunning(const worker_view &view)
{
    const auto &latest = view.lastReport;
    return std::max<std::int64_t>(0,
                                  latest.capacity.millicores - latest.usedByLongRunning.millicores);
}

// Processors, in millicores, that workers have free if only their long-running runs count.
struct free_processors
{
    std::int64_t sum = 0;
    std::int64_t most = 0; // of one worker

    void add(const worker_view &view)
    {
        const auto free = gapBesideLongRunning(view);
        sum += free;
        most = std::max(most, free);
    }
};

} // namespace

std::string_view nameOf(unfit_reason reason)
{
    return nameOf(UnfitReasonNames, reason);
}

std::string worker_pool::describeUnfitWorkers(const std::string &service, const step_spec &step,
                                              const std::vector<std::string> &avoid, time_point now,
                                              const placement_preferences &preferences) const
{
    std::map<unfit_reason, int> counts;
    free_processors freeBesideLongRunning;
    int roomBesideLongRunning = 0;
    for (const auto &[name, view] : m_workers) {
        auto reason = unfitReasonOf(view, service, step, preferences, now);
        if (reason == unfit_reason::ServiceMismatch)
            continue;
        if (reason == unfit_reason::None
            && std::find(avoid.begin(), avoid.end(), name) != avoid.end())
            reason = unfit_reason::Avoided;
        ++counts[reason];
        if (lacksRoom(reason) && hasRoomBesideLongRunning(view, step))
            ++roomBesideLongRunning;
        if (lacksRoom(reason) || isLeftWaiting(reason))
            freeBesideLongRunning.add(view);
    }
    if (counts.empty())
        return "the service has no worker";
    std::string text;
    for (const auto &[reason, count] : counts)
        text += fmt::format("{} {}, ", count, nameOf(reason));
    return text
           + fmt::format("{} with room beside long-running runs; {} millicores asked for, free "
                         "beside long-running runs {} in sum, {} at most",
                         roomBesideLongRunning, step.size.millicores, freeBesideLongRunning.sum,
                         freeBesideLongRunning.most);
}

std::map<std::string, std::int64_t> worker_pool::gapsBesideLongRunning(const std::string &service,
                                                                       const step_spec &step,
                                                                       time_point now) const
{
    std::map<std::string, std::int64_t> gaps;
    for (const auto &[name, view] : m_workers) {
        const auto reason = unfitReasonOf(view, service, step, {}, now);
        if (reason == unfit_reason::None || lacksRoom(reason))
            gaps.emplace(name, gapBesideLongRunning(view));
    }
    return gaps;
}

std::string worker_pool::describeLateRuns(const std::string &job, time_point now) const
{
    constexpr int MaxRuns = 8; // bounds the length of a log line
    int runs = 0;
    std::string text;
    for (const auto &[name, view] : m_workers) {
        if (now - view.lastReportAt > m_settings.reportTimeout)
            continue;
        for (const auto &run : view.lastReport.serving) {
            if (run.job != job || !run.isLate || ++runs > MaxRuns)
                continue;
            text += fmt::format("{}{} (headroom {:.2f}, interference {:.2f})",
                                text.empty() ? "" : ", ", name, run.headroom,
                                interferenceLoad(view, run));
        }
    }
    return text;
}

} // namespace zinniabarrow::jobs
