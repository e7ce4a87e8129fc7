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

constexpr std::int64_t Most = std::numeric_limits<std::int64_t>::max();

struct dimension
{
    const char *name; // as in the files
    std::int64_t resources::*amount;
};

constexpr std::array Dimensions{
        dimension{"millicores", &resources::millicores},
        dimension{"bytes", &resources::bytes},
        dimension{"accelerators", &resources::accelerators},
};

// Sums that stop at the largest number: a wrapped sum would let an absurd folder fit its pool.
std::int64_t cappedSum(std::int64_t a, std::int64_t b)
{
    std::int64_t sum = 0;
    return __builtin_add_overflow(a, b, &sum) ? Most : sum;
}

std::int64_t cappedProduct(std::int64_t a, std::int64_t b)
{
    std::int64_t product = 0;
    return __builtin_mul_overflow(a, b, &product) ? Most : product;
}

resources times(const resources &size, std::int64_t count)
{
    resources all;
    for (const auto &dimension : Dimensions)
        all.*dimension.amount = cappedProduct(size.*dimension.amount, count);
    return all;
}

// The first dimension in which `size` is over `limit`, or null.
const dimension *exceeded(const resources &size, const resources &limit)
{
    for (const auto &dimension : Dimensions) {
        if (size.*dimension.amount > limit.*dimension.amount)
            return &dimension;
    }
    return nullptr;
}

std::int64_t replicasOnOneWorker(const resources &size, const resources &worker)
{
    auto count = Most;
    for (const auto &dimension : Dimensions) {
        if (size.*dimension.amount > 0)
            count = std::min(count, worker.*dimension.amount / size.*dimension.amount);
    }
    return count;
}

// What a service or job needs of others; both are checked alike.
struct demand
{
    std::string pointer; // "/services/tickets"
    std::string team;
    std::string pool;
    resources size;            // of one replica or task
    std::int64_t replicas = 0; // that run at once whatever happens; 0 for jobs
    text_place place;          // where it was first written
};

class whole_checker
{
public:
    whole_checker(const merged_folder &merged, const configuration &whole)
        : m_merged(merged)
        , m_whole(whole)
    { }

    std::vector<problem> check()
    {
        for (const auto &demand : demands())
            checkDemand(demand);
        return std::move(m_problems);
    }

private:
    // In the order in which they were written, so that of two files that are too much together the
    // later one is refused.
    std::vector<demand> demands() const
    {
        std::vector<demand> all;
        for (const auto &[name, service] : m_whole.services)
            all.push_back(demandOf(childPointer("/services", name), service, service.replicas));
        for (const auto &[name, job] : m_whole.jobs)
            all.push_back(demandOf(childPointer("/jobs", name), job, 0));
        std::stable_sort(all.begin(), all.end(), [](const demand &a, const demand &b) {
            return std::pair(a.place.file, a.place.line) < std::pair(b.place.file, b.place.line);
        });
        return all;
    }

    template <typename Spec>
    demand demandOf(const std::string &pointer, const Spec &spec, std::int64_t replicas) const
    {
        return {pointer, spec.team, spec.pool, spec.size, replicas, m_merged.placeOf(pointer)};
    }

    void checkDemand(const demand &demand)
    {
        const auto pool = m_whole.pools.find(demand.pool);
        const auto team = m_whole.teams.find(demand.team);
        if (pool == m_whole.pools.end())
            reportUnknown(demand.pointer + "/pool", demand.pool, "pool", m_whole.pools);
        else
            checkPool(demand, pool->second);
        if (team == m_whole.teams.end())
            reportUnknown(demand.pointer + "/team", demand.team, "team", m_whole.teams);
        else
            checkTeam(demand, team->second);
    }

    void checkPool(const demand &demand, const pool_spec &pool)
    {
        if (const auto *over = exceeded(demand.size, pool.worker)) {
            reportSize(demand, *over,
                       fmt::format("at most {}, the largest worker of pool {}; it never fits",
                                   pool.worker.*over->amount, demand.pool));
            return;
        }
        const auto room =
                cappedProduct(replicasOnOneWorker(demand.size, pool.worker), pool.workers);
        if (demand.replicas > room) {
            report(demand.pointer + "/replicas", fmt::to_string(demand.replicas),
                   fmt::format("at most {}, which the {} workers of pool {} hold", room,
                               pool.workers, demand.pool));
            return;
        }
        addUp(m_poolSums[demand.pool], demand, times(pool.worker, pool.workers),
              "the workers of pool " + demand.pool);
    }

    void checkTeam(const demand &demand, const team_spec &team)
    {
        if (const auto *over = exceeded(demand.size, team.quota)) {
            reportSize(demand, *over,
                       fmt::format("at most {}, the quota of team {}; it never fits",
                                   team.quota.*over->amount, demand.team));
            return;
        }
        addUp(m_teamSums[demand.team], demand, team.quota, "the quota of team " + demand.team);
    }

    // Replicas of services run all at once, so their sum must fit; tasks of jobs wait for room.
    void addUp(resources &sum, const demand &demand, const resources &limit,
               const std::string &limitName)
    {
        const auto all = times(demand.size, demand.replicas);
        for (const auto &dimension : Dimensions) {
            auto &amount = sum.*dimension.amount;
            const auto before = amount;
            amount = cappedSum(amount, all.*dimension.amount);
            const auto most = limit.*dimension.amount;
            if (before <= most && amount > most) {
                report(demand.pointer,
                       fmt::format("{} {} of services up to this one", amount, dimension.name),
                       fmt::format("at most {}, {}", most, limitName));
            }
        }
    }

    template <typename Map>
    void reportUnknown(const std::string &pointer, const std::string &found, const char *kind,
                       const Map &known)
    {
        constexpr std::size_t MostNamed = 20;
        std::string names;
        std::size_t count = 0;
        for (const auto &[name, spec] : known) {
            if (++count > MostNamed)
                break;
            names += (names.empty() ? "" : ", ") + name;
        }
        if (known.size() > MostNamed)
            names += ", …";
        report(pointer, fmt::format("unknown {} \"{}\"", kind, found),
               names.empty() ? fmt::format("none, as the folder has no {}", kind) : names);
    }

    void reportSize(const demand &demand, const dimension &over, const std::string &allowed)
    {
        report(fmt::format("{}/size/{}", demand.pointer, over.name),
               fmt::to_string(demand.size.*over.amount), allowed);
    }

    void report(const std::string &pointer, const std::string &found, const std::string &allowed)
    {
        const auto place = m_merged.placeOf(pointer);
        m_problems.push_back({place.file, place.line, pointer, found, allowed});
    }

    const merged_folder &m_merged;
    const configuration &m_whole;
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
        } catch (const syntax_error &broken) {
            problems.push_back(broken.where);
        }
    }
    return texts;
}

std::vector<folder_file> inOrder(std::vector<folder_file> files)
{
    std::erase_if(files, [](const folder_file &file) { return !isFolderFile(file.name); });
    std::sort(files.begin(), files.end(),
              [](const folder_file &a, const folder_file &b) { return a.name < b.name; });
    return files;
}

} // namespace

folder_check checkFolder(const std::vector<folder_file> &files, const folder_limits &limits)
{
    const auto ordered = inOrder(files);
    folder_check result;
    result.problems = checkLimits(ordered, limits);
    if (!result.problems.empty())
        return result;
    auto texts = parseFiles(ordered, result.problems);
    if (!result.problems.empty())
        return result;
    result.merged = merge(std::move(texts));
    const auto &merged = result.merged;
    result.problems = folderSchema().check(merged.value,
                                           [&](const std::string &pointer, const Json::Value &) {
                                               return merged.placeOf(pointer);
                                           });
    if (!result.problems.empty())
        return result;
    result.whole = configurationFromJson(merged.value);
    result.problems = whole_checker(merged, result.whole).check();
    return result;
}

} // namespace zinniabarrow::config
