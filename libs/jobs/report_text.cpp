// Parses the reports of agents on their workers. An entry receives at least one report a second
// from each agent and parses no other text as often, so large_json is used.
#include <utility>

#include "base/errors.h"
#include "base/large_json.h"
#include "jobs/message_limits.h"
#include "jobs/messages.h"
#include "jobs/value_limits.h"

namespace zinniabarrow::jobs {

namespace {

using large_json::value;

const value &requiredMember(const value &object, const char *name)
{
    const auto *found = large_json::find(object, name);
    if (found == nullptr)
        throw error(error_kind::BadRequest, std::string("report lacks member ") + name);
    return *found;
}

bool requiredFlag(const value &object, const char *name)
{
    const auto &found = requiredMember(object, name);
    if (!found.IsBool())
        throw error(error_kind::BadRequest, std::string(name) + ": true or false is needed");
    return found.GetBool();
}

// A member that is only present when it is true.
bool optionalFlag(const value &object, const char *name)
{
    return large_json::find(object, name) != nullptr && requiredFlag(object, name);
}

double requiredReal(const value &object, const char *name)
{
    return large_json::asRealWithin(requiredMember(object, name), MaxReal);
}

int requiredCount(const value &object, const char *name)
{
    return static_cast<int>(large_json::numberUpTo(object, name, MaxRunNumber));
}

// A name that entries store with the runs on a worker.
std::string nameMember(const value &object, const char *member)
{
    constexpr std::size_t MaxLength = 256; // bytes
    auto name = large_json::text(object, member);
    if (name.size() > MaxLength)
        throw error(error_kind::BadRequest, std::string(member) + ": too long");
    return name;
}

// Agents of the previous release send checkpoints of any length.
std::string checkpointOf(const value &object)
{
    auto checkpoint = large_json::text(object, "checkpoint");
    return checkpoint.size() > MaxCheckpointBytes ? std::string() : checkpoint;
}

task_id taskOf(const value &object)
{
    const auto text = large_json::text(object, "task");
    const auto task = taskIdFrom(text);
    if (!task)
        throw error(error_kind::BadRequest, "not a task id: " + text);
    return *task;
}

task_size sizeFrom(const value &object)
{
    return {large_json::numberUpTo(object, "millicores", MaxAmount),
            large_json::numberUpTo(object, "memory_mb", MaxAmount),
            large_json::numberUpTo(object, "accelerators", MaxAmount)};
}

std::map<std::string, double> amountsFrom(const value &object)
{
    if (!object.IsObject())
        throw error(error_kind::BadRequest, "amounts by image: an object is needed");
    std::map<std::string, double> amounts;
    for (const auto &[name, amount] : object.GetObject()) {
        amounts[large_json::asText(name)] = large_json::asRealWithin(amount, MaxReal);
    }
    return amounts;
}

serving_headroom headroomFrom(const value &row)
{
    // Agents of the previous release don't send "job". "late" is sent only if it is true.
    return {large_json::text(row, "image"), requiredReal(row, "room"),
            large_json::textOrEmpty(row, "job"), optionalFlag(row, "late")};
}

// Agents of the previous release don't send "lasting". All that is used then counts as used by
// long-running runs, none of which becomes free by itself.
task_size longRunningUseFrom(const value &report, const task_size &used)
{
    const auto *longRunningUse = large_json::find(report, "lasting");
    return longRunningUse == nullptr ? used : sizeFrom(*longRunningUse);
}

interference_sample sampleFrom(const value &row)
{
    interference_sample sample{large_json::text(row, "image"),
                               large_json::numberUpTo(row, "tail_ms", MaxTimeMs),
                               large_json::numberUpTo(row, "target_ms", MaxTimeMs),
                               amountsFrom(requiredMember(row, "fills"))};
    if (large_json::find(row, "inverse_fall") != nullptr) {
        sample.change = interference_change{requiredReal(row, "inverse_fall"),
                                            amountsFrom(requiredMember(row, "fill_changes")),
                                            optionalFlag(row, "change_at_least")};
    }
    return sample;
}

run_end endFrom(const value &row)
{
    const auto name = large_json::text(row, "how");
    const auto endKind = endKindNamed(name);
    if (!endKind)
        throw error(error_kind::BadRequest, "unknown name " + name);
    return {large_json::numberUpTo(row, "number", MaxCounter), taskOf(row),
            requiredCount(row, "run"), *endKind, checkpointOf(row)};
}

void addProgress(const value &row, std::vector<run_progress> &progress)
{
    run_progress added{taskOf(row), requiredCount(row, "run"), checkpointOf(row)};
    if (!added.checkpoint.empty())
        progress.push_back(std::move(added));
}

// Agents of the previous release don't send "wants_presses": they expect the interference table
// whenever they send samples.
bool wantsTable(const value &report, const std::vector<interference_sample> &samples)
{
    if (large_json::find(report, "wants_presses") == nullptr)
        return !samples.empty();
    return requiredFlag(report, "wants_presses");
}

} // namespace

worker_report reportFrom(const std::string &text)
{
    using namespace large_json;
    const auto value = parseObject(text);
    worker_report report;
    report.worker = nameMember(value, "worker");
    report.address = nameMember(value, "address");
    report.agentIncarnation = numberUpTo(value, "agent_life", MaxCounter);
    report.epoch = numberUpTo(value, "epoch", MaxCounter);
    // Agents of the previous release don't send "clock_ms".
    if (find(value, "clock_ms") != nullptr)
        report.clockMs = numberUpTo(value, "clock_ms", MaxTimeMs);
    report.service = nameMember(value, "service");
    report.zone = nameMember(value, "zone");
    report.kind = nameMember(value, "kind");
    report.rack = nameMember(value, "rack");
    report.isAccepting = requiredFlag(value, "accepting");
    report.takesSharedPayloads = optionalFlag(value, "shared_payloads");
    report.capacity = sizeFrom(requiredMember(value, "capacity"));
    report.used = sizeFrom(requiredMember(value, "used"));
    report.usedByLongRunning = longRunningUseFrom(value, report.used);
    report.bestEffortMillicores = numberUpTo(value, "fill_millicores", MaxAmount);
    // Agents of the previous release don't send "failures_in_row".
    if (find(value, "failures_in_row") != nullptr)
        report.failuresInRow = requiredCount(value, "failures_in_row");
    forEach(value, "serving",
            [&](const auto &row) { report.serving.push_back(headroomFrom(row)); });
    if (const auto *demand = find(value, "filling"))
        report.bestEffortDemand = amountsFrom(*demand);
    forEach(value, "samples", [&](const auto &row) { report.samples.push_back(sampleFrom(row)); });
    report.wantsInterferenceTable = wantsTable(value, report.samples);
    for (const auto &row : array(value, "ends").GetArray())
        report.ends.push_back(endFrom(row));
    for (const auto &row : array(value, "progress").GetArray())
        addProgress(row, report.progress);
    forEach(value, "started", [&](const auto &row) {
        report.started.push_back({taskOf(row), requiredCount(row, "run")});
    });
    return report;
}

} // namespace zinniabarrow::jobs
