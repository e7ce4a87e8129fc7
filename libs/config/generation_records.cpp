#include "config/generation_records.h"

#include <fmt/format.h>

#include "base/errors.h"
#include "base/hash.h"
#include "base/json.h"
#include "base/names.h"
#include "config/fields.h"

namespace zinniabarrow::config {

namespace {

constexpr name_table<lag_reason, 2> LagReasonNames{{
        {lag_reason::Behind, "behind"},
        {lag_reason::Silent, "silent"},
}};

constexpr name_table<file_state, 4> FileStateNames{{
        {file_state::InForce, "in force"},
        {file_state::Superseded, "superseded"},
        {file_state::Refused, "refused"},
        {file_state::Pending, "pending"},
}};

} // namespace

std::string_view nameOf(lag_reason reason)
{
    return nameOf(LagReasonNames, reason);
}

std::string_view nameOf(file_state state)
{
    return nameOf(FileStateNames, state);
}

// Called from config/fields.h through argument-dependent look-up, hence outside the unnamed
// namespace.
static void fromName(const std::string &name, file_state &state)
{
    state = enumFromName(FileStateNames, name);
}

template <typename Archive>
void describe(Archive &archive, problem &fault)
{
    archive("file", fault.file);
    archive("line", fault.line);
    archive("pointer", fault.pointer);
    archive("found", fault.found);
    archive("allowed", fault.allowed);
}

template <typename Archive>
void describe(Archive &archive, accepted_row &row)
{
    archive("generation", row.generation);
    archive("digest", row.digest);
    archive("folder", row.folderDigest);
    archive("operation_id", row.operationId);
    archive("previous", row.previousDigests);
}

template <typename Archive>
void describe(Archive &archive, generation_report &report)
{
    archive("process", report.process);
    archive("role", report.role);
    archive("generation", report.generation);
    archive("digest", report.digest);
}

template <typename Archive>
void describe(Archive &archive, file_status &status)
{
    archive("file", status.name);
    archive("version", status.version);
    archive("state", status.state);
    archive("generation", status.generation);
    archive("reason", status.reason);
    archive("problems", status.problems);
}

namespace {

// Throws if the member is missing. Required members have no defaults: without one of them this is a
// message of another kind.
void requireMember(const Json::Value &value, const char *name)
{
    if (!value.isObject() || !value.isMember(name))
        throw error(error_kind::BadRequest, fmt::format("member {} is missing", name));
}

} // namespace

std::string contentText(const generation_content &content)
{
    Json::Value value(Json::objectValue);
    value["configuration"] = toJson(content.mergedConfig);
    value["files"] = Json::Value(Json::objectValue);
    for (const auto &[name, version] : content.files)
        value["files"][name] = Json::UInt64(version);
    value["overridden"] = Json::Value(Json::objectValue);
    for (const auto &[name, overridingFile] : content.overriddenBy)
        value["overridden"][name] = overridingFile;
    return compactJson(value);
}

generation_content contentFromText(const std::string &text)
{
    const auto value = parseJson(text);
    for (const auto *name : {"configuration", "files", "overridden"})
        requireMember(value, name);
    generation_content content;
    content.mergedConfig = configurationFromJson(value["configuration"]);
    field_reader reader(value);
    reader("files", content.files);
    reader("overridden", content.overriddenBy);
    return content;
}

std::string digestOf(const std::string &text)
{
    return fmt::format("{:016x}-{}", stableHash(text), text.size());
}

std::string digestOf(const file_versions &files)
{
    std::string text;
    for (const auto &[name, version] : files)
        text += fmt::format("{}\n{}\n", name, version);
    return digestOf(text);
}

Json::Value toJson(const accepted_row &row)
{
    return membersToJson(row);
}

accepted_row acceptedRowFromJson(const Json::Value &value)
{
    for (const auto *name : {"generation", "digest", "folder", "operation_id"})
        requireMember(value, name);
    return readMembers<accepted_row>(value);
}

Json::Value toJson(const generation_report &report)
{
    return membersToJson(report);
}

generation_report generationReportFromJson(const Json::Value &value)
{
    for (const auto *name : {"process", "role", "generation", "digest"})
        requireMember(value, name);
    return readMembers<generation_report>(value);
}

Json::Value toJson(const lagging_process &laggingProcess)
{
    auto value = toJson(laggingProcess.report);
    value["reason"] = std::string(nameOf(laggingProcess.reason));
    value["silence_ms"] = Json::Int64(laggingProcess.silence.count());
    return value;
}

std::vector<lagging_process> findLaggingProcesses(const std::vector<received_report> &reports,
                                                  std::uint64_t generation, time_point now,
                                                  milliseconds silenceLimit)
{
    std::vector<lagging_process> found;
    for (const auto &[report, receivedAt] : reports) {
        const auto sinceLastReport = std::chrono::duration_cast<milliseconds>(now - receivedAt);
        if (report.generation < generation)
            found.push_back({report, lag_reason::Behind, sinceLastReport});
        else if (sinceLastReport > silenceLimit)
            found.push_back({report, lag_reason::Silent, sinceLastReport});
    }
    return found;
}

Json::Value toJson(const file_status &status)
{
    return membersToJson(status);
}

file_status fileStatusFromJson(const Json::Value &value)
{
    for (const auto *name : {"file", "version", "state"})
        requireMember(value, name);
    return readMembers<file_status>(value);
}

} // namespace zinniabarrow::config
