#include "work/quota_parts.h"

#include <algorithm>
#include <utility>

#include "base/json_member.h"
#include "work/ownership.h"

namespace zinniabarrow::work {

namespace {

constexpr const char *OperationMember = "op";
constexpr const char *QuotaPrefix = "quota/";

// Each dimension by itself.
template <typename Operation>
resources combine(const resources &left, const resources &right, Operation operation)
{
    return {operation(left.millicores, right.millicores), operation(left.bytes, right.bytes),
            operation(left.accelerators, right.accelerators)};
}

resources larger(const resources &left, const resources &right)
{
    return combine(left, right, [](auto a, auto b) { return std::max(a, b); });
}

resources smaller(const resources &left, const resources &right)
{
    return combine(left, right, [](auto a, auto b) { return std::min(a, b); });
}

// Zero where the team has no limit, so that such dimensions call for no writes.
resources limited(const resources &amount, const resources &limit)
{
    return combine(amount, limit, [](auto a, auto most) { return most > 0 ? a : 0; });
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
    if (m_settings.shards < 2)
        return {};
    for (const auto &[name, demand] : demands) {
        team_state &team = m_teams[name];
        team.demand.limit = demand.limit;
        team.demand.held = limited(demand.held, demand.limit);
        team.demand.wanted =
                limited(smaller(larger(demand.held, demand.wanted), demand.limit), demand.limit);
        team.demand.unit = limited(demand.unit, demand.limit);
        team.yields = now >= team.yieldAt && othersWait(team);
        if (!team.operation.empty() && now >= team.answerBy)
            doubt(name, team, now);
        if (team.known && !team.stale && team.operation.empty() && now >= team.writeAt)
            decide(name, team, now);
    }
    std::erase_if(m_teams, [&](const auto &item) { return !demands.contains(item.first); });
    if (now >= m_readAt && !m_teams.empty()) {
        m_readAt = now + m_settings.readEvery;
        read_rows read;
        for (const auto &[name, team] : m_teams)
            read.keys.push_back(keyOf(name));
        m_actions.emplace_back(std::move(read));
    }
    return std::exchange(m_actions, {});
}

resources quota_parts::partOf(const team_state &team) const
{
    const auto found = team.parts.find(m_shard);
    return found == team.parts.end() ? resources{} : found->second;
}

// A write without an answer may take effect at any moment until the row has a newer version: what
// is given to tasks must fit the part with it and without it.
resources quota_parts::usable(const std::string &name) const
{
    const auto found = m_teams.find(name);
    if (found == m_teams.end() || !found->second.known)
        return {};
    const team_state &team = found->second;
    resources part = partOf(team);
    if (!team.operation.empty())
        part = smaller(part, team.sent);
    if (team.doubted)
        part = smaller(part, *team.doubted);
    // Yields as tasks end: what they leave is not given to others here.
    return team.yields ? smaller(part, keptFromOthers(team)) : part;
}

// Among the shards that hold a part or wait for one.
resources quota_parts::equalShare(const team_state &team) const
{
    std::set<int> active = team.waiting;
    active.insert(m_shard);
    for (const auto &[shard, part] : team.parts) {
        if (part != resources{})
            active.insert(shard);
    }
    const auto count = static_cast<std::int64_t>(active.size());
    const auto &limit = team.demand.limit;
    return {limit.millicores / count, limit.bytes / count, limit.accelerators / count};
}

bool quota_parts::othersWait(const team_state &team) const
{
    const resources equal = limited(equalShare(team), team.demand.limit);
    return std::any_of(team.waiting.begin(), team.waiting.end(), [&](int shard) {
        const auto part = team.parts.find(shard);
        const bool below = part == team.parts.end() || !equal.fitsIn(part->second);
        return shard != m_shard && below;
    });
}

// Two shards that each kept a rest too small for one task would both wait for ever.
resources quota_parts::keptFromOthers(const team_state &team) const
{
    const auto &held = team.demand.held;
    const resources equal = limited(equalShare(team), team.demand.limit);
    const bool fitsOne = (held + team.demand.unit).fitsIn(equal);
    return fitsOne ? larger(equal, held) : held;
}

// Left by the other shards; below zero after the operators lowered the limit.
resources quota_parts::freeFor(const team_state &team) const
{
    resources left = team.demand.limit;
    for (const auto &[shard, part] : team.parts) {
        if (shard != m_shard)
            left -= part;
    }
    return limited(left, team.demand.limit);
}

resources quota_parts::targetOf(team_state &team, time_point now) const
{
    const team_demand &demand = team.demand;
    const resources part = partOf(team);
    const resources kept = keptFromOthers(team);
    if (team.yields && !part.fitsIn(kept)) {
        team.raiseAt = now + 2 * m_settings.readEvery; // others have read the row by then
        return smaller(part, kept);
    }
    if (part.fitsIn(demand.wanted)) // all of it is in use
        team.keepUntil = now + m_settings.returnAfter;
    if (demand.wanted.fitsIn(part))
        return now < team.keepUntil ? part : demand.wanted;
    if (now < team.raiseAt)
        return part;
    const resources next = demand.held + demand.unit;
    const resources most = othersWait(team) ? larger(equalShare(team), next) : demand.limit;
    const resources raised = larger(part, smaller(smaller(demand.wanted, most), freeFor(team)));
    return next.fitsIn(raised) ? raised : part;
}

void quota_parts::decide(const std::string &name, team_state &team, time_point now)
{
    const resources target = targetOf(team, now);
    const auto &demand = team.demand;
    const bool waits = demand.unit != resources{} && !(demand.held + demand.unit).fitsIn(target);
    if (!target.fitsIn(partOf(team)))
        team.yieldAt = now + m_settings.readEvery;
    // A write in doubt is settled by another one: until the version moves, nobody knows.
    if (team.doubted || target != partOf(team) || waits != team.waiting.contains(m_shard))
        write(name, team, target, waits, now);
}

void quota_parts::write(const std::string &name, team_state &team, const resources &part,
                        bool waits, time_point now)
{
    table_transaction transaction;
    transaction.operationId = m_operationPrefix + "/quota/" + std::to_string(++m_operations);
    transaction.conditions = {{shardKey(m_shard), m_shardVersion}, {keyOf(name), team.version}};
    auto parts = team.parts;
    parts[m_shard] = part;
    auto waiting = team.waiting;
    waiting.erase(m_shard);
    if (waits)
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
    team.operation = transaction.operationId;
    team.sent = part;
    team.writeAt = now + m_settings.retryAfter;
    team.answerBy = now + AnswerWithin;
    m_actions.emplace_back(commit_rows{std::move(transaction)});
}

std::vector<quota_action> quota_parts::handle(const write_settled &event, time_point now)
{
    m_actions.clear();
    for (auto &[name, team] : m_teams) {
        if (team.operation.empty() || team.operation != event.operationId)
            continue;
        if (event.result.outcome == write_outcome::Refused)
            team.operation.clear();
        else if (event.result.outcome == write_outcome::Unknown)
            doubt(name, team, now + m_settings.readEvery);
        else // Applied as well: there is one way in which parts become known
            doubt(name, team, now);
        break;
    }
    return std::exchange(m_actions, {});
}

// The row is read. Until a newer version was seen, a copy of the write may still take effect.
void quota_parts::doubt(const std::string &name, team_state &team, time_point writeAt)
{
    team.operation.clear();
    team.doubted = smaller(team.doubted.value_or(team.sent), team.sent);
    team.writeAt = writeAt;
    m_actions.emplace_back(read_rows{{keyOf(name)}});
    team.stale = true;
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
                                      [&](const auto &one) { return one.key == key; });
        table_row none;
        none.key = key;
        load(found->second, row == event.rows.end() ? none : *row);
    }
}

// A reading that was overtaken by a newer one says nothing.
void quota_parts::load(team_state &team, const table_row &row)
{
    if (row.version < team.version)
        return;
    team.known = true;
    team.stale = false;
    // Writes in doubt were conditional on the version before: they have taken effect, or never
    // will.
    if (row.version > team.version)
        team.doubted.reset();
    team.version = row.version;
    if (row.version == 0)
        return;
    team.parts.clear();
    const auto &parts = objectMember(row.value, "parts");
    for (const auto &shard : parts.getMemberNames()) {
        const int number = std::stoi(shard);
        if (number < static_cast<int>(m_settings.shards)) // there may have been more once
            team.parts[number] = resourcesFromJson(parts[shard]);
    }
    team.waiting.clear();
    for (const auto &shard : arrayMember(row.value, "waiting"))
        team.waiting.insert(shard.asInt());
}

} // namespace zinniabarrow::work
