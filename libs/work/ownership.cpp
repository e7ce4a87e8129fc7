#include "work/ownership.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"

namespace zinniabarrow::work {

namespace {

constexpr milliseconds RetryAfter{1'000};

std::string shardText(int shard)
{
    return std::to_string(shard);
}

const table_row *findRow(const std::map<std::string, const table_row *> &rows,
                         const std::string &key)
{
    const auto found = rows.find(key);
    return found == rows.end() ? nullptr : found->second;
}

const quiet_workers &quietIn(const std::map<int, quiet_workers> &byShard, int shard)
{
    static const quiet_workers none;
    const auto found = byShard.find(shard);
    return found == byShard.end() ? none : found->second;
}

std::uint64_t versionOf(const table_row *row)
{
    return row == nullptr ? 0 : row->version;
}

bool writtenBy(const table_row *row, const std::string &operation)
{
    return row != nullptr && row->value["op"].asString() == operation;
}

} // namespace

std::string shardKey(int shard)
{
    return ShardPrefix + shardText(shard);
}

std::string shardLeaseKey(int shard)
{
    return shardKey(shard) + "/lease";
}

int shardOfWorker(const std::string &worker, const std::string &zone,
                  const std::vector<shard_info> &shards)
{
    std::vector<std::string> members;
    for (const auto &shard : shards) {
        if (shard.zone == zone)
            members.push_back(shardText(shard.shard));
    }
    if (members.empty()) {
        for (const auto &shard : shards)
            members.push_back(shardText(shard.shard));
    }
    if (members.empty())
        return 0;
    return std::stoi(rendezvousOrder(worker, members).front());
}

std::vector<std::string> ownersByPreference(const shard_info &shard,
                                            const std::vector<entry_info> &entries)
{
    std::vector<std::string> outside;
    std::vector<std::string> inside;
    for (const auto &entry : entries)
        (entry.zone == shard.zone ? inside : outside).push_back(entry.id);
    auto order = rendezvousOrder(shardKey(shard.shard), outside);
    const auto rest = rendezvousOrder(shardKey(shard.shard), inside);
    order.insert(order.end(), rest.begin(), rest.end());
    return order;
}

shard_owner::shard_owner(entry_info self, std::string operationPrefix,
                         std::vector<shard_info> shards, ownership_settings settings)
    : m_self(std::move(self))
    , m_operationPrefix(std::move(operationPrefix))
    , m_settings(settings)
    , m_peers{m_self}
{
    for (auto &shard : shards) {
        shard_state state;
        state.info = shard;
        m_shards.emplace(shard.shard, std::move(state));
    }
}

std::vector<ownership_action> shard_owner::handle(const ownership_event &event, time_point now)
{
    m_actions.clear();
    std::visit([&](const auto &one) { on(one, now); }, event);
    return std::move(m_actions);
}

bool shard_owner::owns(int shard) const
{
    const auto found = m_shards.find(shard);
    return found != m_shards.end() && found->second.owned;
}

time_point shard_owner::mayGrantUntil(int shard) const
{
    const auto found = m_shards.find(shard);
    if (found == m_shards.end() || !found->second.owned)
        return time_point();
    return found->second.grantUntil;
}

bool shard_owner::released() const
{
    if (!m_releasing)
        return false;
    return std::all_of(m_shards.begin(), m_shards.end(),
                       [](const auto &item) { return !item.second.owned && !item.second.pending; });
}

void shard_owner::on(const shard_rows_read &event, time_point now)
{
    std::map<std::string, const table_row *> rows;
    for (const auto &row : event.rows)
        rows[row.key] = &row;
    for (auto &[number, state] : m_shards) {
        const table_row *row = findRow(rows, shardKey(number));
        const table_row *lease = findRow(rows, shardLeaseKey(number));
        // An answer that was overtaken by a newer one must not look like a change.
        if (versionOf(row) < state.rowVersion || versionOf(lease) < state.leaseVersion)
            continue;
        settleFromRows(state, row, lease, now);
        readShard(state, row, lease, now);
    }
}

// A write is settled by its operation id in the rows. Not found and the versions still as it needs
// them: it may be on its way, so exactly the same write goes out again; its conditions let one copy
// at most take effect. Not found and a version has moved: it never will. That is judged by the
// write's own conditions, and whether or not it is in doubt yet: the reading that shows the other
// owner's write may come before the answer, and no later one need differ from it. Measured against
// what was read last, the write would go out for ever, and the shard be neither taken nor let go.
void shard_owner::settleFromRows(shard_state &state, const table_row *row, const table_row *lease,
                                 time_point now)
{
    if (!state.pending)
        return;
    const pending_write &write = *state.pending;
    const table_row *written = write.kind == pending_write::purpose::Renew ? lease : row;
    if (writtenBy(written, write.transaction.operationId)) {
        applied(state, written->version, now);
        return;
    }
    if (versionOf(row) != write.rowVersion || versionOf(lease) != write.leaseVersion)
        state.pending.reset();
}

void shard_owner::readShard(shard_state &state, const table_row *row, const table_row *lease,
                            time_point now)
{
    // A pause of the readings (the table was down, or this process stopped) restarts the watch:
    // the owner could not renew either, and an outage must not become a wave of takeovers.
    const bool gap = state.readAt && now - *state.readAt > m_settings.leases.ownerLease;
    const bool first = !state.readAt;
    const bool changed =
            versionOf(row) != state.rowVersion || versionOf(lease) != state.leaseVersion;
    const bool ownerChanged = versionOf(row) != state.rowVersion;
    state.readAt = now;
    if (first || gap || changed)
        state.watchedSince = now;
    if (first || changed)
        state.changedAt = now;
    if (!changed)
        return;
    state.rowVersion = versionOf(row);
    state.leaseVersion = versionOf(lease);
    state.epoch = row->value["epoch"].asUInt64();
    takeHandedOver(state, row->value);
    if (state.owned && ownerChanged)
        lose(state);
}

void shard_owner::on(const shard_write_settled &event, time_point now)
{
    for (auto &[number, state] : m_shards) {
        if (!state.pending || state.pending->transaction.operationId != event.operationId)
            continue;
        switch (event.result.outcome) {
        case write_outcome::Applied:
            applied(state, event.result.sequence, now);
            break;
        case write_outcome::Refused:
            // Refusing a repeat says nothing about the copy that was sent before.
            if (state.pending->inDoubt)
                state.pending->retryAt = now + RetryAfter;
            else if (state.pending->kind == pending_write::purpose::Release)
                state.pending->retryAt = now + RetryAfter;
            else
                state.pending.reset();
            state.renewAt = now + RetryAfter;
            break;
        case write_outcome::Conflict:
        case write_outcome::Unknown:
            state.pending->inDoubt = true;
            state.pending->retryAt = now + RetryAfter;
            m_actions.emplace_back(scan_shards{});
            break;
        }
        return;
    }
}

void shard_owner::on(const peers_changed &event, time_point)
{
    m_peers = event.entries;
}

void shard_owner::on(const ownership_tick &event, time_point now)
{
    if (now >= m_scanAt) {
        m_scanAt = now + m_settings.scanEvery;
        m_actions.emplace_back(scan_shards{});
    }
    for (auto &[number, state] : m_shards) {
        if (state.pending) {
            if (now >= state.pending->retryAt) {
                state.pending->inDoubt = true;
                state.pending->retryAt = now + AnswerWithin;
                m_actions.emplace_back(commit_shard{state.pending->transaction});
            }
        } else if (state.owned) {
            tickOwned(state, quietIn(event.quiet, number), now);
        } else if (!m_releasing) {
            tickFree(state, now);
        }
    }
}

void shard_owner::on(const release_shards &event, time_point now)
{
    m_releasing = true;
    for (auto &[number, state] : m_shards) {
        if (state.owned && !state.pending)
            release(state, quietIn(event.quiet, number), now);
    }
}

void shard_owner::tickOwned(shard_state &state, const quiet_workers &quiet, time_point now)
{
    const bool preferred = rankFor(state) == 0;
    if (preferred)
        state.lessPreferredSince = Never;
    else if (state.lessPreferredSince == Never)
        state.lessPreferredSince = now;
    const bool handOver = !preferred && now - state.lessPreferredSince >= m_settings.handOverAfter;
    if (m_releasing || handOver)
        release(state, quiet, now);
    else if (now >= state.renewAt)
        renew(state, now);
}

void shard_owner::tickFree(shard_state &state, time_point now)
{
    const bool watching = state.readAt && now - *state.readAt <= m_settings.leases.ownerLease;
    if (watching && now >= mayTakeAt(state))
        take(state, now);
}

// The previous owner's lease is counted from the first sight of its last renewal, which was sent
// before; a less preferred entry waits longer, so that two rarely race.
time_point shard_owner::mayTakeAt(const shard_state &state) const
{
    const auto stagger = m_settings.stagger * rankFor(state);
    if (state.rowVersion == 0 || state.freed)
        return state.watchedSince + stagger;
    return state.watchedSince + safeWait(m_settings.leases.ownerLease, m_settings.leases) + stagger;
}

// Until then a worker that has not attached to this owner may hold a lease: a superseded owner may
// answer reports until its horizon ends, and the last answer is good for one more lease.
time_point shard_owner::silentUntil(const shard_state &state) const
{
    const lease_settings &leases = m_settings.leases;
    if (state.rowVersion == 0)
        return state.changedAt;
    const auto granted = safeWait(leases.grantLease, leases);
    if (state.freed)
        return state.changedAt + std::max(state.silentWait, granted);
    return state.changedAt + safeWait(leases.horizon, leases) + granted;
}

void shard_owner::take(shard_state &state, time_point now)
{
    pending_write write;
    write.kind = pending_write::purpose::Take;
    write.epoch = state.epoch + 1;
    write.waitForSilentUntil = silentUntil(state);
    write.quiet = quietOf(state);
    Json::Value row(Json::objectValue);
    row["owner"] = m_self.id;
    row["epoch"] = Json::UInt64(write.epoch);
    const int shard = state.info.shard;
    write.transaction.writes.push_back({shardKey(shard), row});
    write.transaction.writes.push_back({shardLeaseKey(shard), Json::Value(Json::objectValue)});
    send(state, std::move(write), now);
}

void shard_owner::renew(shard_state &state, time_point now)
{
    pending_write write;
    write.kind = pending_write::purpose::Renew;
    write.transaction.writes.push_back(
            {shardLeaseKey(state.info.shard), Json::Value(Json::objectValue)});
    send(state, std::move(write), now);
}

// What the row says of the last owner's workers, if that has handed the shard over.
void shard_owner::takeHandedOver(shard_state &state, const Json::Value &row)
{
    state.freed = row["freed"].asBool();
    state.silentWait = milliseconds(row["silentWaitMs"].asInt64());
    state.quiet.clear();
    const auto &quiet = row["quietMs"];
    for (const auto &worker : quiet.isObject() ? quiet.getMemberNames() : Json::Value::Members())
        state.quiet[worker] = milliseconds(quiet[worker].asInt64());
}

// Counted from when this entry saw the row: the last owner counted from before it wrote it.
quiet_workers shard_owner::quietOf(const shard_state &state)
{
    quiet_workers quiet;
    for (const auto &[worker, left] : state.quiet)
        quiet[worker] = state.changedAt + left;
    return quiet;
}

void shard_owner::release(shard_state &state, const quiet_workers &quiet, time_point now)
{
    pending_write write;
    write.kind = pending_write::purpose::Release;
    Json::Value row(Json::objectValue);
    row["owner"] = "";
    row["epoch"] = Json::UInt64(state.epoch);
    row["freed"] = true;
    // An earlier owner's horizon may still run; the next owner must not forget it.
    row["silentWaitMs"] = Json::Int64(millisecondsUntil(state.waitForSilentUntil, now) + 1);
    if (state.waitForSilentUntil <= now)
        row["silentWaitMs"] = 0;
    // Each owner that is replaced would otherwise have its successor wait anew for workers that
    // were gone long before, and their tasks with them: entries are replaced one after the other.
    for (const auto &[worker, until] : quiet)
        row["quietMs"][worker] = Json::Int64(until > now ? millisecondsUntil(until, now) + 1 : 0);
    write.transaction.writes.push_back({shardKey(state.info.shard), row});
    lose(state);
    send(state, std::move(write), now);
}

void shard_owner::send(shard_state &state, pending_write write, time_point now)
{
    write.sentAt = now;
    write.retryAt = now + AnswerWithin;
    write.transaction.operationId = m_operationPrefix + "/" + std::to_string(++m_operations);
    write.rowVersion = state.rowVersion;
    write.leaseVersion = state.leaseVersion;
    const int shard = state.info.shard;
    write.transaction.conditions = {{shardKey(shard), write.rowVersion},
                                    {shardLeaseKey(shard), write.leaseVersion}};
    for (auto &row : write.transaction.writes)
        (*row.value)["op"] = write.transaction.operationId;
    m_actions.emplace_back(commit_shard{write.transaction});
    state.pending = std::move(write);
}

void shard_owner::applied(shard_state &state, std::uint64_t version, time_point now)
{
    const pending_write write = std::move(*state.pending);
    state.pending.reset();
    state.changedAt = now;
    state.watchedSince = now;
    switch (write.kind) {
    case pending_write::purpose::Take:
        state.rowVersion = version;
        state.leaseVersion = version;
        state.epoch = write.epoch;
        state.freed = false;
        state.quiet.clear();
        state.owned = true;
        state.lessPreferredSince = Never;
        state.waitForSilentUntil = write.waitForSilentUntil;
        state.grantUntil = write.sentAt + m_settings.leases.horizon;
        state.renewAt = write.sentAt + m_settings.leases.renewEvery;
        m_actions.emplace_back(became_owner{state.info.shard, state.epoch, state.rowVersion,
                                            state.waitForSilentUntil, write.quiet});
        break;
    case pending_write::purpose::Renew:
        // Counted from before the write was sent: a watcher saw its effect later than that.
        state.leaseVersion = version;
        state.grantUntil = write.sentAt + m_settings.leases.horizon;
        state.renewAt = write.sentAt + m_settings.leases.renewEvery;
        break;
    case pending_write::purpose::Release:
        state.rowVersion = version;
        takeHandedOver(state, *write.transaction.writes.front().value);
        break;
    }
}

void shard_owner::lose(shard_state &state)
{
    state.owned = false;
    state.grantUntil = time_point();
    m_actions.emplace_back(lost_shard{state.info.shard});
}

std::size_t shard_owner::rankFor(const shard_state &state) const
{
    const auto order = ownersByPreference(state.info, m_peers);
    const auto found = std::find(order.begin(), order.end(), m_self.id);
    return static_cast<std::size_t>(found - order.begin());
}

} // namespace zinniabarrow::work
