#include "work/quota_parts.h"

#include <algorithm>
#include <utility>

#include "base/json_member.h"
#include "work/ownership.h"

namespace zinniabarrow::work {

namespace {

constexpr const char *OperationMember = "op";
constexpr const char *QuotaPrefix = "quota/";

// Applies the operation to each dimension separately.
template <typename Operation>
resources combine(const resources &left, const resources &right, Operation operation)
{
    return {operation(left.millicores, right.millicores), operation(left.bytes, right.bytes),
            operation(left.accelerators, right.accelerators)};
}

resources elementwiseMax(const resources &left, const resources &right)
{
    return combine(left, right, [](auto a, auto b) { return std::max(a, b); });
}

resources elementwiseMin(const resources &left, const resources &right)
{
    return combine(left, right, [](auto a, auto b) { return std::min(a, b); });
}

// `amount` with 0 in the dimensions without a limit, so that these cause no writes.
resources limitedDimensionsOf(const resources &amount, const resources &limit)
{
    return combine(amount, limit, [](auto a, auto limitAmount) { return limitAmount > 0 ? a : 0; });
}

Json::Value toJson(const resources &amount)
{
    Json::Value list(Json::arrayValue);
    list.append(Json::Int64(amount.millicores));
    list.append(Json::Int64(amount.bytes));
    list.append(Json::Int64(amount.accelerators));
    return list;
}

resources resourcesFromJson(const Json::Value &list)
{
    return {list[0].asInt64(), list[1].asInt64(), list[2].asInt64()};
}

} // namespace

quota_parts::quota_parts(int shard, std::uint64_t shardVersion, std::string operationPrefix,
                         quota_settings settings)
    : m_shard(shard)
    , m_shardVersion(shardVersion)
    , m_operationPrefix(std::move(operationPrefix))
    , m_settings(settings)
{ }

std::string quota_parts::keyOf(const std::string &team)
{
    return QuotaPrefix + team;
}

std::vector<quota_action> quota_parts::update(const std::map<std::string, team_demand> &demands,
                                              time_point now)
{
    m_actions.clear();
    if (m_settings.shardCount < 2)
        return {};
    for (const auto &[name, demand] : demands) {
        team_state &team = m_teams[name];
        team.demand.limit = demand.limit;
        team.demand.inUse = limitedDimensionsOf(demand.inUse, demand.limit);
        team.demand.demanded = limitedDimensionsOf(
                elementwiseMin(elementwiseMax(demand.inUse, demand.demanded), demand.limit),
                demand.limit);
        team.demand.largestWaiting = limitedDimensionsOf(demand.largestWaiting, demand.limit);
        team.isYielding = now >= team.nextYieldAt && isOtherShardBelowEqualShare(team);
        if (!team.inFlightOperation.empty() && now >= team.answerDeadline)
            markInDoubt(name, team, now);
        if (team.isLoaded && !team.isStale && team.inFlightOperation.empty()
            && now >= team.nextWriteAt)
            decideWrite(name, team, now);
    }
    std::erase_if(m_teams, [&](const auto &item) { return !demands.contains(item.first); });
    if (now >= m_nextReadAt && !m_teams.empty()) {
        m_nextReadAt = now + m_settings.readInterval;
        read_rows read;
        for (const auto &[name, team] : m_teams)
            read.keys.push_back(keyOf(name));
        m_actions.emplace_back(std::move(read));
    }
    return std::exchange(m_actions, {});
}

resources quota_parts::currentPart(const team_state &team) const
{
    const auto found = team.parts.find(m_shard);
    return found == team.parts.end() ? resources{} : found->second;
}

// A write without an answer may take effect at any moment until the row has a newer version.
// Therefore tasks may only use what is within the part both with and without that write.
resources quota_parts::usableQuota(const std::string &name) const
{
    const auto found = m_teams.find(name);
    if (found == m_teams.end() || !found->second.isLoaded)
        return {};
    const team_state &team = found->second;
    resources part = currentPart(team);
    if (!team.inFlightOperation.empty())
        part = elementwiseMin(part, team.inFlightPart);
    if (team.inDoubtPart)
        part = elementwiseMin(part, *team.inDoubtPart);
    // While yielding, quota of ended tasks is not reused in this shard.
    return team.isYielding ? elementwiseMin(part, partToKeep(team)) : part;
}

// An equal share for each shard that has a part or waits for one.
resources quota_parts::equalShare(const team_state &team) const
{
    std::set<int> active = team.waitingShards;
    active.insert(m_shard);
    for (const auto &[shard, part] : team.parts) {
        if (part != resources{})
            active.insert(shard);
    }
    const auto count = static_cast<std::int64_t>(active.size());
    const auto &limit = team.demand.limit;
    return {limit.millicores / count, limit.bytes / count, limit.accelerators / count};
}

// True if another shard waits and has less than an equal share.
bool quota_parts::isOtherShardBelowEqualShare(const team_state &team) const
{
    const resources equal = limitedDimensionsOf(equalShare(team), team.demand.limit);
    return std::any_of(team.waitingShards.begin(), team.waitingShards.end(), [&](int shard) {
        const auto part = team.parts.find(shard);
        const bool hasLessThanEqualShare = part == team.parts.end() || !equal.fitsIn(part->second);
        return shard != m_shard && hasLessThanEqualShare;
    });
}

// What the shard keeps while yielding. If its equal share fits no further task, it keeps only what
// is in use: two shards that each kept a remainder too small for one task would both wait forever.
resources quota_parts::partToKeep(const team_state &team) const
{
    const auto &resourcesInUse = team.demand.inUse;
    const resources equal = limitedDimensionsOf(equalShare(team), team.demand.limit);
    const bool fitsOne = (resourcesInUse + team.demand.largestWaiting).fitsIn(equal);
    return fitsOne ? elementwiseMax(equal, resourcesInUse) : resourcesInUse;
}

// What the other shards leave of the limit; negative after operators have lowered the limit.
resources quota_parts::unallocatedQuota(const team_state &team) const
{
    resources remaining = team.demand.limit;
    for (const auto &[shard, part] : team.parts) {
        if (shard != m_shard)
            remaining -= part;
    }
    return limitedDimensionsOf(remaining, team.demand.limit);
}

resources quota_parts::targetPart(team_state &team, time_point now) const
{
    const team_demand &demand = team.demand;
    const resources part = currentPart(team);
    const resources partKept = partToKeep(team);
    if (team.isYielding && !part.fitsIn(partKept)) {
        team.nextRaiseAt = now + 2 * m_settings.readInterval; // by then others have read the row
        return elementwiseMin(part, partKept);
    }
    if (part.fitsIn(demand.demanded)) // the demand needs all of it
        team.keepUnusedUntil = now + m_settings.unusedReturnDelay;
    if (demand.demanded.fitsIn(part))
        return now < team.keepUnusedUntil ? part : demand.demanded;
    if (now < team.nextRaiseAt)
        return part;
    const resources minimumNeeded = demand.inUse + demand.largestWaiting;
    const resources upperBound = isOtherShardBelowEqualShare(team)
                                         ? elementwiseMax(equalShare(team), minimumNeeded)
                                         : demand.limit;
    const resources raised =
            elementwiseMax(part, elementwiseMin(elementwiseMin(demand.demanded, upperBound),
                                                unallocatedQuota(team)));
    return minimumNeeded.fitsIn(raised) ? raised : part;
}

void quota_parts::decideWrite(const std::string &name, team_state &team, time_point now)
{
    const resources target = targetPart(team, now);
    const auto &demand = team.demand;
    const bool isWaiting = demand.largestWaiting != resources{}
                           && !(demand.inUse + demand.largestWaiting).fitsIn(target);
    if (!target.fitsIn(currentPart(team)))
        team.nextYieldAt = now + m_settings.readInterval;
    // A write in doubt is resolved by a new write: until the row's version changes, the first one
    // may still take effect.
    if (team.inDoubtPart || target != currentPart(team)
        || isWaiting != team.waitingShards.contains(m_shard))
        writePart(name, team, target, isWaiting, now);
}

void quota_parts::writePart(const std::string &name, team_state &team, const resources &part,
                            bool isWaiting, time_point now)
{
    table_transaction transaction;
    transaction.operationId = m_operationPrefix + "/quota/" + std::to_string(++m_operationCount);
    transaction.conditions = {{shardKey(m_shard), m_shardVersion}, {keyOf(name), team.version}};
    auto parts = team.parts;
    parts[m_shard] = part;
    auto waiting = team.waitingShards;
    waiting.erase(m_shard);
    if (isWaiting)
        waiting.insert(m_shard);
    Json::Value value(Json::objectValue);
    value[OperationMember] = transaction.operationId;
    value["parts"] = Json::Value(Json::objectValue);
    for (const auto &[shard, amount] : parts)
        value["parts"][std::to_string(shard)] = toJson(amount);
    value["waiting"] = Json::Value(Json::arrayValue);
    for (const int shard : waiting)
        value["waiting"].append(shard);
    transaction.writes.push_back({keyOf(name), std::move(value)});
    team.inFlightOperation = transaction.operationId;
    team.inFlightPart = part;
    team.nextWriteAt = now + m_settings.retryDelay;
    team.answerDeadline = now + AnswerTimeout;
    m_actions.emplace_back(commit_rows{std::move(transaction)});
}

std::vector<quota_action> quota_parts::handle(const write_answered &event, time_point now)
{
    m_actions.clear();
    for (auto &[name, team] : m_teams) {
        if (team.inFlightOperation.empty() || team.inFlightOperation != event.operationId)
            continue;
        if (event.result.outcome == write_outcome::Refused)
            team.inFlightOperation.clear();
        else if (event.result.outcome == write_outcome::Unknown)
            markInDoubt(name, team, now + m_settings.readInterval);
        else // also after Applied: parts are only taken from rows that were read
            markInDoubt(name, team, now);
        break;
    }
    return std::exchange(m_actions, {});
}

// Requests a read of the row. A copy of the write may still take effect until a newer version of
// the row was read.
void quota_parts::markInDoubt(const std::string &name, team_state &team, time_point writeAt)
{
    team.inFlightOperation.clear();
    team.inDoubtPart =
            elementwiseMin(team.inDoubtPart.value_or(team.inFlightPart), team.inFlightPart);
    team.nextWriteAt = writeAt;
    m_actions.emplace_back(read_rows{{keyOf(name)}});
    team.isStale = true;
}

void quota_parts::handle(const rows_read &event)
{
    for (const auto &key : event.keys) {
        if (!key.starts_with(QuotaPrefix))
            return;
        const auto found = m_teams.find(key.substr(std::string(QuotaPrefix).size()));
        if (found == m_teams.end())
            continue;
        const auto row = std::find_if(event.rows.begin(), event.rows.end(),
                                      [&](const auto &candidate) { return candidate.key == key; });
        table_row none;
        none.key = key;
        load(found->second, row == event.rows.end() ? none : *row);
    }
}

// A read result that arrives after a newer one is ignored.
void quota_parts::load(team_state &team, const table_row &row)
{
    if (row.version < team.version)
        return;
    team.isLoaded = true;
    team.isStale = false;
    // Writes in doubt were conditional on the previous version: they have taken effect, or never
    // will.
    if (row.version > team.version)
        team.inDoubtPart.reset();
    team.version = row.version;
    if (row.version == 0)
        return;
    team.parts.clear();
    const auto &parts = objectMember(row.value, "parts");
    for (const auto &shard : parts.getMemberNames()) {
        const int shardNumber = std::stoi(shard);
        if (shardNumber
            < static_cast<int>(m_settings.shardCount)) // the number of shards may have been reduced
            team.parts[shardNumber] = resourcesFromJson(parts[shard]);
    }
    team.waitingShards.clear();
    for (const auto &shard : arrayMember(row.value, "waiting"))
        team.waitingShards.insert(shard.asInt());
}

} // namespace zinniabarrow::work
