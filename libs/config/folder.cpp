#include "config/folder.h"

#include <algorithm>

#include "base/errors.h"
#include "base/json.h"
#include "base/names.h"
#include "config/fields.h"
#include "config/folder_schema.h"

namespace zinniabarrow::config {

namespace {

constexpr name_table<priority_class, 3> PriorityNames{{
        {priority_class::Urgent, "urgent"},
        {priority_class::Normal, "normal"},
        {priority_class::Low, "low"},
}};

} // namespace

std::string_view nameOf(priority_class priority)
{
    return nameOf(PriorityNames, priority);
}

// Called from config/fields.h through argument-dependent look-up, hence outside the unnamed
// namespace.
static void fromName(const std::string &name, priority_class &priority)
{
    priority = enumFromName(PriorityNames, name);
}

template <typename Archive>
void describe(Archive &archive, service_spec &service)
{
    archive("team", service.team);
    archive("pool", service.pool);
    archive("replicas", service.replicas);
    archive("size", service.size);
    archive("port", service.port);
    archive("latency_target_ms", service.latencyTarget);
    archive("priority", service.priority);
    archive("failover", service.failover);
    archive("class", service.interferenceClass);
}

template <typename Archive>
void describe(Archive &archive, job_spec &job)
{
    archive("team", job.team);
    archive("pool", job.pool);
    archive("tasks", job.tasks);
    archive("size", job.size);
    archive("run_time_estimate_ms", job.runTimeEstimate);
    archive("checkpointable", job.isCheckpointable);
    archive("priority", job.priority);
    archive("failover", job.failover);
    archive("class", job.interferenceClass);
}

template <typename Archive>
void describe(Archive &archive, pool_spec &pool)
{
    archive("zones", pool.zones);
    archive("workers", pool.workers);
    archive("worker", pool.workerSize);
}

template <typename Archive>
void describe(Archive &archive, team_spec &team)
{
    archive("quota", team.quota);
    archive("weight", team.weight);
}

template <typename Archive>
void describe(Archive &archive, configuration &mergedConfiguration)
{
    archive("services", mergedConfiguration.services);
    archive("jobs", mergedConfiguration.jobs);
    archive("pools", mergedConfiguration.pools);
    archive("teams", mergedConfiguration.teams);
}

Json::Value toJson(const configuration &configuration)
{
    return membersToJson(configuration);
}

configuration configurationFromJson(const Json::Value &value)
{
    return readMembers<configuration>(value);
}

bool isFolderFile(std::string_view name)
{
    return !name.empty() && name.front() != '.' && name.ends_with(".json");
}

text_location merged_folder::locationOf(const std::string &pointer) const
{
    for (auto prefixPointer = pointer;; prefixPointer.resize(prefixPointer.rfind('/'))) {
        const auto found = valueLocations.find(prefixPointer);
        if (found != valueLocations.end())
            return found->second;
        if (prefixPointer.empty())
            return {};
    }
}

namespace {

// Applies the files one after the other. Counts how many values of each file no later file has
// replaced, to find the files that are overridden completely.
class folder_merger
{
public:
    merged_folder takeMerged()
    {
        for (const auto &[file, replacingFile] : m_lastReplacer) {
            if (m_valueCounts[file] == 0)
                m_merged.overriddenBy[file] = replacingFile;
        }
        return std::move(m_merged);
    }

    void applyFile(const json_text &file)
    {
        m_file = &file;
        applyPatch(m_merged.value, file.root(), "");
    }

private:
    void applyPatch(Json::Value &target, const Json::Value &change, const std::string &pointer)
    {
        if (!change.isObject()) {
            eraseReplacedValues(pointer);
            target = change;
            m_merged.valueLocations[pointer] = locationHere(change);
            recordValue(pointer);
            return;
        }
        if (!target.isObject() || !m_merged.valueLocations.contains(pointer)) {
            eraseReplacedValues(pointer);
            target = Json::Value(Json::objectValue);
            m_merged.valueLocations[pointer] = locationHere(change);
        }
        for (const auto &name : change.getMemberNames())
            applyMemberPatch(target, name, change[name], childPointer(pointer, name));
    }

    void applyMemberPatch(Json::Value &target, const std::string &name, const Json::Value &change,
                          const std::string &pointer)
    {
        if (!change.isNull()) {
            applyPatch(target[name], change, pointer);
            return;
        }
        eraseReplacedValues(pointer);
        target.removeMember(name);
        // A deletion counts as a value of its file until a later file contains the member again.
        recordValue(pointer);
    }

    text_location locationHere(const Json::Value &value) const
    {
        return {m_file->file(), m_file->lineOf(value)};
    }

    void recordValue(const std::string &pointer)
    {
        m_fileOfValue[pointer] = m_file->file();
        ++m_valueCounts[m_file->file()];
    }

    // Removes the records of all values at and below `pointer`, which the current file replaces.
    void eraseReplacedValues(const std::string &pointer)
    {
        eraseSubtree(m_merged.valueLocations, pointer, [](const auto &) {});
        eraseSubtree(m_fileOfValue, pointer, [&](const std::string &owner) {
            --m_valueCounts[owner];
            if (owner != m_file->file())
                m_lastReplacer[owner] = m_file->file();
        });
    }

    template <typename Map, typename Visit>
    static void eraseSubtree(Map &map, const std::string &pointer, Visit &&visit)
    {
        const auto exact = map.find(pointer);
        if (exact != map.end()) {
            visit(exact->second);
            map.erase(exact);
        }
        const auto prefix = pointer + '/';
        auto it = map.lower_bound(prefix);
        while (it != map.end() && it->first.starts_with(prefix)) {
            visit(it->second);
            it = map.erase(it);
        }
    }

    const json_text *m_file = nullptr; // the file that is being applied
    merged_folder m_merged;
    std::map<std::string, std::string> m_fileOfValue;  // of each value or deletion, by JSON pointer
    std::map<std::string, int> m_valueCounts;          // values and deletions not replaced, by file
    std::map<std::string, std::string> m_lastReplacer; // file that replaced the last value, by file
};

} // namespace

merged_folder mergeFiles(std::vector<json_text> files)
{
    std::sort(files.begin(), files.end(),
              [](const json_text &a, const json_text &b) { return a.file() < b.file(); });
    folder_merger merger;
    for (const auto &file : files)
        merger.applyFile(file);
    return merger.takeMerged();
}

const json_schema &folderSchema()
{
    static const json_schema schema{std::string_view(FolderSchemaText)};
    return schema;
}

static Json::Value fileSchemaDefinition()
{
    auto definition = patchSchemaOf(folderSchema().definition());
    definition["type"] = "object"; // not null, which would delete the values of all earlier files
    return definition;
}

const json_schema &folderFileSchema()
{
    static const json_schema schema{fileSchemaDefinition()};
    return schema;
}

} // namespace zinniabarrow::config
