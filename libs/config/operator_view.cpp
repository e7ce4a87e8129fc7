#include "config/operator_view.h"

#include <fmt/format.h>

#include "base/errors.h"
#include "base/names.h"

namespace zinniabarrow::config {

namespace {

constexpr name_table<follow_state, 4> FollowNames{{
        {follow_state::Waiting, "waiting"},
        {follow_state::Everywhere, "in force everywhere"},
        {follow_state::Refused, "refused"},
        {follow_state::Superseded, "superseded"},
}};

template <typename Records>
Json::Value listOf(const Records &records)
{
    Json::Value list(Json::arrayValue);
    for (const auto &record : records)
        list.append(toJson(record));
    return list;
}

const Json::Value &listIn(const Json::Value &value, const char *name)
{
    if (!value.isObject() || !value[name].isArray())
        throw error(error_kind::BadRequest, fmt::format("member {} must be an array", name));
    return value[name];
}

laggard laggardFromJson(const Json::Value &value)
{
    laggard result;
    result.report = generationReportFromJson(value);
    if (!value["silence_ms"].isInt64() || !value["reason"].isString())
        throw error(error_kind::BadRequest, "members reason and silence_ms are missing");
    const bool isSilent = value["reason"].asString() == nameOf(lag_reason::Silent);
    result.reason = isSilent ? lag_reason::Silent : lag_reason::Behind;
    result.silence = milliseconds(value["silence_ms"].asInt64());
    return result;
}

} // namespace

folder_view folderViewOf(const generation_keeper &keeper, time_point now, milliseconds silence)
{
    const auto reports = keeper.reports();
    folder_view view;
    view.here = keeper.report();
    view.isReady = keeper.isReady();
    view.processes = reports.size();
    view.lagging = laggards(reports, keeper.generation(), now, silence);
    view.files = keeper.files();
    view.problems = keeper.problems();
    return view;
}

Json::Value toJson(const folder_view &view)
{
    Json::Value value(Json::objectValue);
    value["here"] = toJson(view.here);
    value["ready"] = view.isReady;
    value["processes"] = Json::UInt64(view.processes);
    value["lagging"] = listOf(view.lagging);
    value["files"] = listOf(view.files);
    value["problems"] = listOf(view.problems);
    return value;
}

folder_view folderViewFromJson(const Json::Value &value)
{
    folder_view view;
    for (const auto &lagging : listIn(value, "lagging"))
        view.lagging.push_back(laggardFromJson(lagging));
    for (const auto &file : listIn(value, "files"))
        view.files.push_back(fileStatusFromJson(file));
    for (const auto &problem : listIn(value, "problems"))
        view.problems.push_back(problemFromJson(problem));
    if (!value["ready"].isBool() || !value["processes"].isUInt64())
        throw error(error_kind::BadRequest, "members ready and processes are missing");
    view.here = generationReportFromJson(value["here"]);
    view.isReady = value["ready"].asBool();
    view.processes = value["processes"].asUInt64();
    return view;
}

std::string toTable(const folder_view &view)
{
    auto table =
            fmt::format("generation {} in force at {} ({}), {} other processes, {} lagging\n",
                        view.here.generation, view.here.process,
                        view.isReady ? "ready" : "not ready", view.processes, view.lagging.size());
    for (const auto &[report, reason, silence] : view.lagging) {
        table += fmt::format("  {:<24} {:<6} generation {:<8} {:<7} last heard {} ms ago\n",
                             report.process, report.role, report.generation, nameOf(reason),
                             silence.count());
    }
    table += fmt::format("{:<32} {:>10}  {:<10}  {}\n", "FILE", "VERSION", "STATE", "REASON");
    for (const auto &file : view.files)
        table += fmt::format("{:<32} {:>10}  {:<10}  {}\n", file.name, file.version,
                             nameOf(file.state), file.reason);
    if (!view.problems.empty())
        table += "the folder as it stands is refused:\n" + problemTable(view.problems);
    return table;
}

std::string problemTable(const std::vector<problem> &problems)
{
    std::string table;
    for (const auto &problem : problems)
        table += toText(problem) + '\n';
    return table;
}

Json::Value problemList(const std::vector<problem> &problems)
{
    return listOf(problems);
}

std::string_view nameOf(follow_state state)
{
    return nameOf(FollowNames, state);
}

follow_state followState(const folder_view &view, const file_status &file)
{
    if (file.state == file_state::Refused)
        return follow_state::Refused;
    if (file.state == file_state::Superseded)
        return follow_state::Superseded;
    const bool isInForceHere = file.state == file_state::InForce;
    return isInForceHere && view.lagging.empty() ? follow_state::Everywhere : follow_state::Waiting;
}

} // namespace zinniabarrow::config
