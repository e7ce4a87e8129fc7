// Parses the reports of agents on their workers. An entry receives at least one report a second
// from each agent and parses no other text as often, so large_json is used.
#include "base/errors.h"
#include "base/large_json.h"
#include "jobs/messages.h"

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
    requiredMember(object, name);
    return large_json::realOr(object, name, 0);
}

int requiredCount(const value &object, const char *name)
{
    requiredMember(object, name);
    return large_json::countOr0(object, name);
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
    return {large_json::number(object, "millicores"), large_json::number(object, "memory_mb"),
            large_json::number(object, "accelerators")};
}

std::map<std::string, double> amountsFrom(const value &object)
{
    if (!object.IsObject())
        throw error(error_kind::BadRequest, "amounts by image: an object is needed");
    std::map<std::string, double> amounts;
    for (const auto &[name, amount] : object.GetObject()) {
        if (!amount.IsNumber())
            throw error(error_kind::BadRequest, "amounts by image: numbers are needed");
        amounts[large_json::asText(name)] = amount.GetDouble();
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
    interference_sample sample{large_json::text(row, "image"), large_json::number(row, "tail_ms"),
                               large_json::number(row, "target_ms"),
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
    return {large_json::number(row, "number"), taskOf(row), requiredCount(row, "run"), *endKind,
            large_json::text(row, "checkpoint")};
}

run_progress progressFrom(const value &row)
{
    return {taskOf(row), requiredCount(row, "run"), large_json::text(row, "checkpoint")};
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
    report.worker = large_json::text(value, "worker");
    report.address = large_json::text(value, "address");
    report.agentIncarnation = number(value, "agent_life");
    report.epoch = number(value, "epoch");
    // Agents of the previous release don't send "clock_ms".
    if (find(value, "clock_ms") != nullptr)
        report.clockMs = number(value, "clock_ms");
    report.service = large_json::text(value, "service");
    report.zone = large_json::text(value, "zone");
    report.kind = large_json::text(value, "kind");
    report.rack = large_json::text(value, "rack");
    report.isAccepting = requiredFlag(value, "accepting");
    report.takesSharedPayloads = optionalFlag(value, "shared_payloads");
    report.capacity = sizeFrom(requiredMember(value, "capacity"));
    report.used = sizeFrom(requiredMember(value, "used"));
    report.usedByLongRunning = longRunningUseFrom(value, report.used);
    report.bestEffortMillicores = number(value, "fill_millicores");
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
        report.progress.push_back(progressFrom(row));
    forEach(value, "started", [&](const auto &row) {
        report.started.push_back({taskOf(row), requiredCount(row, "run")});
    });
    return report;
}

} // namespace zinniabarrow::jobs
