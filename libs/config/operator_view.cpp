#include "config/operator_view.h"

#include <fmt/format.h>

#include "base/errors.h"
#include "base/names.h"

namespace zinniabarrow::config {

namespace {

constexpr name_table<rollout_state, 4> RolloutStateNames{{
        {rollout_state::Waiting, "waiting"},
        {rollout_state::InForceEverywhere, "in force everywhere"},
        {rollout_state::Refused, "refused"},
        {rollout_state::Superseded, "superseded"},
}};

template <typename Records>
Json::Value toJsonArray(const Records &records)
{
    Json::Value list(Json::arrayValue);
    for (const auto &record : records)
        list.append(toJson(record));
    return list;
}

const Json::Value &arrayMember(const Json::Value &value, const char *name)
{
    if (!value.isObject() || !value[name].isArray())
        throw error(error_kind::BadRequest, fmt::format("member {} must be an array", name));
    return value[name];
}

lagging_process laggingProcessFromJson(const Json::Value &value)
{
    lagging_process result;
    result.report = generationReportFromJson(value);
    if (!value["silence_ms"].isInt64() || !value["reason"].isString())
        throw error(error_kind::BadRequest,
                    "members reason and silence_ms are missing or of the wrong type");
    const bool isSilent = value["reason"].asString() == nameOf(lag_reason::Silent);
    result.reason = isSilent ? lag_reason::Silent : lag_reason::Behind;
    result.silence = milliseconds(value["silence_ms"].asInt64());
    return result;
}

} // namespace

folder_view folderViewOf(const generation_manager &manager, time_point now,
                         milliseconds silenceLimit)
{
    const auto reports = manager.reports();
    folder_view view;
    view.localReport = manager.report();
    view.isReady = manager.isReady();
    view.otherProcessCount = reports.size();
    view.laggingProcesses = findLaggingProcesses(reports, manager.generation(), now, silenceLimit);
    view.files = manager.files();
    view.problems = manager.problems();
    return view;
}

Json::Value toJson(const folder_view &view)
{
    Json::Value value(Json::objectValue);
    value["here"] = toJson(view.localReport);
    value["ready"] = view.isReady;
    value["processes"] = Json::UInt64(view.otherProcessCount);
    value["lagging"] = toJsonArray(view.laggingProcesses);
    value["files"] = toJsonArray(view.files);
    value["problems"] = toJsonArray(view.problems);
    return value;
}

folder_view folderViewFromJson(const Json::Value &value)
{
    folder_view view;
    for (const auto &laggingRecord : arrayMember(value, "lagging"))
        view.laggingProcesses.push_back(laggingProcessFromJson(laggingRecord));
    for (const auto &file : arrayMember(value, "files"))
        view.files.push_back(fileStatusFromJson(file));
    for (const auto &problem : arrayMember(value, "problems"))
        view.problems.push_back(problemFromJson(problem));
    if (!value["ready"].isBool() || !value["processes"].isUInt64())
        throw error(error_kind::BadRequest,
                    "members ready and processes are missing or of the wrong type");
    view.localReport = generationReportFromJson(value["here"]);
    view.isReady = value["ready"].asBool();
    view.otherProcessCount = value["processes"].asUInt64();
    return view;
}

std::string toTable(const folder_view &view)
{
    auto table = fmt::format("generation {} in force at {} ({}), {} other processes, {} lagging\n",
                             view.localReport.generation, view.localReport.process,
                             view.isReady ? "ready" : "not ready", view.otherProcessCount,
                             view.laggingProcesses.size());
    for (const auto &[report, reason, sinceReport] : view.laggingProcesses) {
        table += fmt::format("  {:<24} {:<6} generation {:<8} {:<7} last report {} ms ago\n",
                             report.process, report.role, report.generation, nameOf(reason),
                             sinceReport.count());
    }
    table += fmt::format("{:<32} {:>10}  {:<10}  {}\n", "FILE", "VERSION", "STATE", "REASON");
    for (const auto &file : view.files)
        table += fmt::format("{:<32} {:>10}  {:<10}  {}\n", file.name, file.version,
                             nameOf(file.state), file.reason);
    if (!view.problems.empty())
        table += "the current state of the folder is refused:\n" + problemTable(view.problems);
    return table;
}

std::string problemTable(const std::vector<problem> &problems)
{
    std::string table;
    for (const auto &problem : problems)
        table += toText(problem) + '\n';
    return table;
}

Json::Value problemsToJson(const std::vector<problem> &problems)
{
    return toJsonArray(problems);
}

std::string_view nameOf(rollout_state state)
{
    return nameOf(RolloutStateNames, state);
}

rollout_state rolloutStateOf(const folder_view &view, const file_status &file)
{
    if (file.state == file_state::Refused)
        return rollout_state::Refused;
    if (file.state == file_state::Superseded)
        return rollout_state::Superseded;
    const bool isInForceHere = file.state == file_state::InForce;
    return isInForceHere && view.laggingProcesses.empty() ? rollout_state::InForceEverywhere
                                                          : rollout_state::Waiting;
}

} // namespace zinniabarrow::config
