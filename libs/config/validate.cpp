#include "config/validate.h"

#include <algorithm>
#include <array>
#include <limits>
#include <string>
#include <utility>

#include <fmt/format.h>

#include "base/errors.h"

namespace zinniabarrow::config {

namespace {

constexpr std::int64_t MaxSum = std::numeric_limits<std::int64_t>::max();

struct dimension
{
    const char *name; // key in the files
    std::int64_t resources::*amount;
};

constexpr std::array Dimensions{
        dimension{"millicores", &resources::millicores},
        dimension{"bytes", &resources::bytes},
        dimension{"accelerators", &resources::accelerators},
};

// Saturating arithmetic: with wrap-around on overflow, a folder with extremely large numbers would
// seem to fit its pools.
std::int64_t cappedSum(std::int64_t a, std::int64_t b)
{
    std::int64_t sum = 0;
    return __builtin_add_overflow(a, b, &sum) ? MaxSum : sum;
}

std::int64_t cappedProduct(std::int64_t a, std::int64_t b)
{
    std::int64_t product = 0;
    return __builtin_mul_overflow(a, b, &product) ? MaxSum : product;
}

resources multiplied(const resources &size, std::int64_t count)
{
    resources totalSize;
    for (const auto &dimension : Dimensions)
        totalSize.*dimension.amount = cappedProduct(size.*dimension.amount, count);
    return totalSize;
}

// The first dimension in which `size` exceeds `limit`, or null.
const dimension *exceededDimension(const resources &size, const resources &limit)
{
    for (const auto &dimension : Dimensions) {
        if (size.*dimension.amount > limit.*dimension.amount)
            return &dimension;
    }
    return nullptr;
}

std::int64_t replicasOnOneWorker(const resources &size, const resources &worker)
{
    auto count = MaxSum;
    for (const auto &dimension : Dimensions) {
        if (size.*dimension.amount > 0)
            count = std::min(count, worker.*dimension.amount / size.*dimension.amount);
    }
    return count;
}

// What a service or job requires of its team and pool; both kinds are checked alike.
struct resource_requirement
{
    std::string pointer; // JSON pointer, such as "/services/tickets"
    std::string team;
    std::string pool;
    resources size;            // of one replica or task
    std::int64_t replicas = 0; // number that must run at once; 0 for jobs, whose tasks can wait
    text_location definedAt;   // of its first occurrence in the files
};

class configuration_checker
{
public:
    configuration_checker(const merged_folder &merged, const configuration &mergedConfiguration)
        : m_merged(merged)
        , m_config(mergedConfiguration)
    { }

    std::vector<problem> check()
    {
        for (const auto &requirement : requirementsInFileOrder())
            checkRequirement(requirement);
        return std::move(m_problems);
    }

private:
    // In the order of files and lines, so that if two files together exceed a limit, the problem is
    // reported for the later one.
    std::vector<resource_requirement> requirementsInFileOrder() const
    {
        std::vector<resource_requirement> requirements;
        for (const auto &[name, service] : m_config.services)
            requirements.push_back(
                    requirementOf(childPointer("/services", name), service, service.replicas));
        for (const auto &[name, job] : m_config.jobs)
            requirements.push_back(requirementOf(childPointer("/jobs", name), job, 0));
        std::stable_sort(requirements.begin(), requirements.end(),
                         [](const resource_requirement &a, const resource_requirement &b) {
                             return std::pair(a.definedAt.file, a.definedAt.line)
                                    < std::pair(b.definedAt.file, b.definedAt.line);
                         });
        return requirements;
    }

    template <typename Spec>
    resource_requirement requirementOf(const std::string &pointer, const Spec &spec,
                                       std::int64_t replicas) const
    {
        return {pointer, spec.team, spec.pool, spec.size, replicas, m_merged.locationOf(pointer)};
    }

    void checkRequirement(const resource_requirement &requirement)
    {
        const auto pool = m_config.pools.find(requirement.pool);
        const auto team = m_config.teams.find(requirement.team);
        if (pool == m_config.pools.end())
            reportUnknown(requirement.pointer + "/pool", requirement.pool, "pool", m_config.pools);
        else
            checkPool(requirement, pool->second);
        if (team == m_config.teams.end())
            reportUnknown(requirement.pointer + "/team", requirement.team, "team", m_config.teams);
        else
            checkTeam(requirement, team->second);
    }

    void checkPool(const resource_requirement &requirement, const pool_spec &pool)
    {
        if (const auto *exceededBy = exceededDimension(requirement.size, pool.workerSize)) {
            reportSize(requirement, *exceededBy,
                       fmt::format("at most {}, the largest worker of pool {}; it never fits",
                                   pool.workerSize.*exceededBy->amount, requirement.pool));
            return;
        }
        const auto capacity =
                cappedProduct(replicasOnOneWorker(requirement.size, pool.workerSize), pool.workers);
        if (requirement.replicas > capacity) {
            report(requirement.pointer + "/replicas", fmt::to_string(requirement.replicas),
                   fmt::format("at most {}, which the {} workers of pool {} hold", capacity,
                               pool.workers, requirement.pool));
            return;
        }
        addToSum(m_poolSums[requirement.pool], requirement,
                 multiplied(pool.workerSize, pool.workers),
                 "the workers of pool " + requirement.pool);
    }

    void checkTeam(const resource_requirement &requirement, const team_spec &team)
    {
        if (const auto *exceededBy = exceededDimension(requirement.size, team.quota)) {
            reportSize(requirement, *exceededBy,
                       fmt::format("at most {}, the quota of team {}; it never fits",
                                   team.quota.*exceededBy->amount, requirement.team));
            return;
        }
        addToSum(m_teamSums[requirement.team], requirement, team.quota,
                 "the quota of team " + requirement.team);
    }

    // All replicas of services run at once, so their sum must fit. Tasks of jobs wait for capacity.
    void addToSum(resources &sum, const resource_requirement &requirement, const resources &limit,
                  const std::string &limitName)
    {
        const auto requiredSum = multiplied(requirement.size, requirement.replicas);
        for (const auto &dimension : Dimensions) {
            auto &amount = sum.*dimension.amount;
            const auto previousAmount = amount;
            amount = cappedSum(amount, requiredSum.*dimension.amount);
            const auto limitAmount = limit.*dimension.amount;
            if (previousAmount <= limitAmount && amount > limitAmount) {
                report(requirement.pointer,
                       fmt::format("{} {} of services up to this one", amount, dimension.name),
                       fmt::format("at most {}, {}", limitAmount, limitName));
            }
        }
    }

    template <typename Map>
    void reportUnknown(const std::string &pointer, const std::string &found, const char *kind,
                       const Map &knownSpecs)
    {
        constexpr std::size_t MaxListedNames = 20;
        std::string names;
        std::size_t count = 0;
        for (const auto &[name, spec] : knownSpecs) {
            if (++count > MaxListedNames)
                break;
            names += (names.empty() ? "" : ", ") + name;
        }
        if (knownSpecs.size() > MaxListedNames)
            names += ", …";
        report(pointer, fmt::format("unknown {} \"{}\"", kind, found),
               names.empty() ? fmt::format("none, as the folder has no {}", kind) : names);
    }

    void reportSize(const resource_requirement &requirement, const dimension &exceededBy,
                    const std::string &allowed)
    {
        report(fmt::format("{}/size/{}", requirement.pointer, exceededBy.name),
               fmt::to_string(requirement.size.*exceededBy.amount), allowed);
    }

    void report(const std::string &pointer, const std::string &found, const std::string &allowed)
    {
        const auto location = m_merged.locationOf(pointer);
        m_problems.push_back({location.file, location.line, pointer, found, allowed});
    }

    const merged_folder &m_merged;
    const configuration &m_config;
    std::map<std::string, resources> m_poolSums;
    std::map<std::string, resources> m_teamSums;
    std::vector<problem> m_problems;
};

std::vector<problem> checkLimits(const std::vector<folder_file> &files, const folder_limits &limits)
{
    std::vector<problem> problems;
    std::size_t total = 0;
    for (const auto &file : files) {
        const auto bytes = file.content.size();
        total += bytes;
        if (bytes > limits.maxFileBytes)
            problems.push_back({file.name, 1, "", fmt::format("{} bytes", bytes),
                                fmt::format("at most {} bytes in a file", limits.maxFileBytes)});
    }
    if (files.size() > limits.maxFiles)
        problems.push_back({"", 0, "", fmt::format("{} files", files.size()),
                            fmt::format("at most {} files", limits.maxFiles)});
    if (total > limits.maxBytes)
        problems.push_back({"", 0, "", fmt::format("{} bytes in all files", total),
                            fmt::format("at most {} bytes", limits.maxBytes)});
    return problems;
}

std::vector<json_text> parseFiles(const std::vector<folder_file> &files,
                                  std::vector<problem> &problems)
{
    std::vector<json_text> texts;
    for (const auto &file : files) {
        try {
            const auto &text = texts.emplace_back(file.name, file.content);
            const auto faults = folderFileSchema().check(text);
            problems.insert(problems.end(), faults.begin(), faults.end());
        } catch (const syntax_error &syntaxError) {
            problems.push_back(syntaxError.detail);
        }
    }
    return texts;
}

std::vector<folder_file> sortedFolderFiles(std::vector<folder_file> files)
{
    std::erase_if(files, [](const folder_file &file) { return !isFolderFile(file.name); });
    std::sort(files.begin(), files.end(),
              [](const folder_file &a, const folder_file &b) { return a.name < b.name; });
    return files;
}

} // namespace

folder_check checkFolder(const std::vector<folder_file> &files, const folder_limits &limits)
{
    const auto ordered = sortedFolderFiles(files);
    folder_check result;
    result.problems = checkLimits(ordered, limits);
    if (!result.problems.empty())
        return result;
    auto texts = parseFiles(ordered, result.problems);
    if (!result.problems.empty())
        return result;
    result.merged = mergeFiles(std::move(texts));
    const auto &merged = result.merged;
    result.problems = folderSchema().check(merged.value,
                                           [&](const std::string &pointer, const Json::Value &) {
                                               return merged.locationOf(pointer);
                                           });
    if (!result.problems.empty())
        return result;
    result.mergedConfig = configurationFromJson(merged.value);
    result.problems = configuration_checker(merged, result.mergedConfig).check();
    return result;
}

} // namespace zinniabarrow::config
