#include "work/ownership.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"

namespace zinniabarrow::work {

namespace {

constexpr milliseconds RetryDelay{1'000};

std::string shardText(int shard)
{
    return std::to_string(shard);
}

const table_row *findRowOrNull(const std::map<std::string, const table_row *> &rows,
                               const std::string &key)
{
    const auto found = rows.find(key);
    return found == rows.end() ? nullptr : found->second;
}

const unresponsive_workers &unresponsiveIn(const std::map<int, unresponsive_workers> &byShard,
                                           int shard)
{
    static const unresponsive_workers none;
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
    const auto insideOrder = rendezvousOrder(shardKey(shard.shard), inside);
    order.insert(order.end(), insideOrder.begin(), insideOrder.end());
    return order;
}

shard_ownership::shard_ownership(entry_info self, std::string operationPrefix,
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

std::vector<ownership_action> shard_ownership::handle(const ownership_event &event, time_point now)
{
    m_actions.clear();
    std::visit([&](const auto &one) { on(one, now); }, event);
    return std::move(m_actions);
}

bool shard_ownership::owns(int shard) const
{
    const auto found = m_shards.find(shard);
    return found != m_shards.end() && found->second.isOwned;
}

time_point shard_ownership::grantDeadline(int shard) const
{
    const auto found = m_shards.find(shard);
    if (found == m_shards.end() || !found->second.isOwned)
        return time_point();
    return found->second.grantUntil;
}

bool shard_ownership::isReleased() const
{
    if (!m_isReleasing)
        return false;
    return std::all_of(m_shards.begin(), m_shards.end(), [](const auto &item) {
        return !item.second.isOwned && !item.second.pendingWrite;
    });
}

void shard_ownership::on(const shard_rows_read &event, time_point now)
{
    std::map<std::string, const table_row *> rows;
    for (const auto &row : event.rows)
        rows[row.key] = &row;
    for (auto &[number, state] : m_shards) {
        const table_row *row = findRowOrNull(rows, shardKey(number));
        const table_row *lease = findRowOrNull(rows, shardLeaseKey(number));
        // A scan result that arrives after a newer one must not look like a change.
        if (versionOf(row) < state.rowVersion || versionOf(lease) < state.leaseVersion)
            continue;
        resolveFromRows(state, row, lease, now);
        updateFromRows(state, row, lease, now);
    }
}

// Finds out from the rows whether the pending write has taken effect:
// - Its row carries its operation id: it has taken effect.
// - No such row, and the versions still meet its conditions: it may be in flight. Exactly the same
//   write is sent again; its conditions let at most one copy take effect.
// - No such row, and a version has changed: it can never take effect, and is dropped.
// Versions are compared with the write's own conditions, even before it is in doubt: the scan that
// shows another owner's write may arrive before the answer, and later scans may show no further
// change. If versions were compared with the last scan, the write would be repeated forever and the
// shard neither acquired nor released.
void shard_ownership::resolveFromRows(shard_state &state, const table_row *row,
                                      const table_row *lease, time_point now)
{
    if (!state.pendingWrite)
        return;
    const pending_write &write = *state.pendingWrite;
    const table_row *written = write.kind == pending_write::purpose::Renew ? lease : row;
    if (writtenBy(written, write.transaction.operationId)) {
        onApplied(state, written->version, now);
        return;
    }
    if (versionOf(row) != write.rowVersion || versionOf(lease) != write.leaseVersion)
        state.pendingWrite.reset();
}

void shard_ownership::updateFromRows(shard_state &state, const table_row *row,
                                     const table_row *lease, time_point now)
{
    // A long gap between scans (the table was down, or this process was stopped) restarts the wait
    // for the owner's lease to end: the owner could not renew either, and an outage must not cause
    // a wave of takeovers.
    const bool hasReadGap =
            state.lastReadAt && now - *state.lastReadAt > m_settings.leases.ownerLease;
    const bool isFirstRead = !state.lastReadAt;
    const bool hasChanged =
            versionOf(row) != state.rowVersion || versionOf(lease) != state.leaseVersion;
    const bool hasOwnerChanged = versionOf(row) != state.rowVersion;
    state.lastReadAt = now;
    if (isFirstRead || hasReadGap || hasChanged)
        state.unchangedSince = now;
    if (isFirstRead || hasChanged)
        state.versionsSeenAt = now;
    if (!hasChanged)
        return;
    state.rowVersion = versionOf(row);
    state.leaseVersion = versionOf(lease);
    state.epoch = row->value["epoch"].asUInt64();
    loadHandOver(state, row->value);
    if (state.isOwned && hasOwnerChanged)
        dropOwnership(state);
}

void shard_ownership::on(const shard_write_answered &event, time_point now)
{
    for (auto &[number, state] : m_shards) {
        if (!state.pendingWrite || state.pendingWrite->transaction.operationId != event.operationId)
            continue;
        switch (event.result.outcome) {
        case write_outcome::Applied:
            onApplied(state, event.result.sequence, now);
            break;
        case write_outcome::Refused:
            // A refused repeat doesn't tell whether the copy that was sent before took effect.
            if (state.pendingWrite->isInDoubt)
                state.pendingWrite->retryAt = now + RetryDelay;
            else if (state.pendingWrite->kind == pending_write::purpose::Release)
                state.pendingWrite->retryAt = now + RetryDelay;
            else
                state.pendingWrite.reset();
            state.nextRenewalAt = now + RetryDelay;
            break;
        case write_outcome::Conflict:
        case write_outcome::Unknown:
            state.pendingWrite->isInDoubt = true;
            state.pendingWrite->retryAt = now + RetryDelay;
            m_actions.emplace_back(scan_shards{});
            break;
        }
        return;
    }
}

void shard_ownership::on(const peers_changed &event, time_point)
{
    m_peers = event.entries;
}

void shard_ownership::on(const ownership_tick &event, time_point now)
{
    if (now >= m_nextScanAt) {
        m_nextScanAt = now + m_settings.scanInterval;
        m_actions.emplace_back(scan_shards{});
    }
    for (auto &[number, state] : m_shards) {
        if (state.pendingWrite) {
            if (now >= state.pendingWrite->retryAt) {
                state.pendingWrite->isInDoubt = true;
                state.pendingWrite->retryAt = now + AnswerTimeout;
                m_actions.emplace_back(commit_shard{state.pendingWrite->transaction});
            }
        } else if (state.isOwned) {
            tickOwned(state, unresponsiveIn(event.unresponsive, number), now);
        } else if (!m_isReleasing) {
            tickUnowned(state, now);
        }
    }
}

void shard_ownership::on(const release_shards &event, time_point now)
{
    m_isReleasing = true;
    for (auto &[number, state] : m_shards) {
        if (state.isOwned && !state.pendingWrite)
            release(state, unresponsiveIn(event.unresponsive, number), now);
    }
}

void shard_ownership::tickOwned(shard_state &state, const unresponsive_workers &unresponsive,
                                time_point now)
{
    const bool isPreferred = preferenceRank(state) == 0;
    if (isPreferred)
        state.lessPreferredSince = Never;
    else if (state.lessPreferredSince == Never)
        state.lessPreferredSince = now;
    const bool shouldHandOver =
            !isPreferred && now - state.lessPreferredSince >= m_settings.handOverDelay;
    if (m_isReleasing || shouldHandOver)
        release(state, unresponsive, now);
    else if (now >= state.nextRenewalAt)
        renew(state, now);
}

void shard_ownership::tickUnowned(shard_state &state, time_point now)
{
    const bool isReadRecent =
            state.lastReadAt && now - *state.lastReadAt <= m_settings.leases.ownerLease;
    if (isReadRecent && now >= acquireNotBefore(state))
        acquire(state, now);
}

// The previous owner's lease is counted from when this entry first saw its last renewal, which is
// later than its sending. Less preferred entries wait longer, so that two entries rarely race.
time_point shard_ownership::acquireNotBefore(const shard_state &state) const
{
    const auto stagger = m_settings.takeoverStagger * preferenceRank(state);
    if (state.rowVersion == 0 || state.isHandedOver)
        return state.unchangedSince + stagger;
    return state.unchangedSince + leaseExpiryWait(m_settings.leases.ownerLease, m_settings.leases)
           + stagger;
}

// Until when a worker that has not attached to this owner may hold an earlier owner's lease: a
// superseded owner may answer reports until its grant period ends, and its last answer gives one
// more lease.
time_point shard_ownership::earlierLeasesEnd(const shard_state &state) const
{
    const lease_settings &leases = m_settings.leases;
    if (state.rowVersion == 0)
        return state.versionsSeenAt;
    const auto grantLeaseWait = leaseExpiryWait(leases.grantLease, leases);
    if (state.isHandedOver)
        return state.versionsSeenAt + std::max(state.remainingLeaseWait, grantLeaseWait);
    return state.versionsSeenAt + leaseExpiryWait(leases.grantPeriod, leases) + grantLeaseWait;
}

void shard_ownership::acquire(shard_state &state, time_point now)
{
    pending_write write;
    write.kind = pending_write::purpose::Acquire;
    write.epoch = state.epoch + 1;
    write.earlierLeasesEndAt = earlierLeasesEnd(state);
    write.unresponsive = handedOverWorkers(state);
    Json::Value row(Json::objectValue);
    row["owner"] = m_self.id;
    row["epoch"] = Json::UInt64(write.epoch);
    const int shard = state.info.shard;
    write.transaction.writes.push_back({shardKey(shard), row});
    write.transaction.writes.push_back({shardLeaseKey(shard), Json::Value(Json::objectValue)});
    sendWrite(state, std::move(write), now);
}

void shard_ownership::renew(shard_state &state, time_point now)
{
    pending_write write;
    write.kind = pending_write::purpose::Renew;
    write.transaction.writes.push_back(
            {shardLeaseKey(state.info.shard), Json::Value(Json::objectValue)});
    sendWrite(state, std::move(write), now);
}

// Reads what the last owner wrote about earlier leases if it handed the shard over.
void shard_ownership::loadHandOver(shard_state &state, const Json::Value &row)
{
    state.isHandedOver = row["freed"].asBool();
    state.remainingLeaseWait = milliseconds(row["silentWaitMs"].asInt64());
    state.unresponsive.clear();
    const auto &unresponsive = row["quietMs"];
    for (const auto &worker :
         unresponsive.isObject() ? unresponsive.getMemberNames() : Json::Value::Members())
        state.unresponsive[worker] = milliseconds(unresponsive[worker].asInt64());
}

// The remaining times are counted from when this entry first saw the row, which is safe: the last
// owner calculated them before it wrote the row.
unresponsive_workers shard_ownership::handedOverWorkers(const shard_state &state)
{
    unresponsive_workers unresponsive;
    for (const auto &[worker, remaining] : state.unresponsive)
        unresponsive[worker] = state.versionsSeenAt + remaining;
    return unresponsive;
}

void shard_ownership::release(shard_state &state, const unresponsive_workers &unresponsive,
                              time_point now)
{
    pending_write write;
    write.kind = pending_write::purpose::Release;
    Json::Value row(Json::objectValue);
    row["owner"] = "";
    row["epoch"] = Json::UInt64(state.epoch);
    row["freed"] = true;
    // The grant period of an earlier owner may not be over yet, so the next owner must wait for the
    // rest of it.
    row["silentWaitMs"] = Json::Int64(millisecondsUntil(state.earlierLeasesEndAt, now) + 1);
    if (state.earlierLeasesEndAt <= now)
        row["silentWaitMs"] = 0;
    // Remaining waits for single workers. Without them, when entries are replaced one after the
    // other, each new owner would wait anew for workers that are long gone, and so would the tasks
    // of these workers.
    for (const auto &[worker, until] : unresponsive)
        row["quietMs"][worker] = Json::Int64(until > now ? millisecondsUntil(until, now) + 1 : 0);
    write.transaction.writes.push_back({shardKey(state.info.shard), row});
    dropOwnership(state);
    sendWrite(state, std::move(write), now);
}

void shard_ownership::sendWrite(shard_state &state, pending_write write, time_point now)
{
    write.sentAt = now;
    write.retryAt = now + AnswerTimeout;
    write.transaction.operationId = m_operationPrefix + "/" + std::to_string(++m_operationCount);
    write.rowVersion = state.rowVersion;
    write.leaseVersion = state.leaseVersion;
    const int shard = state.info.shard;
    write.transaction.conditions = {{shardKey(shard), write.rowVersion},
                                    {shardLeaseKey(shard), write.leaseVersion}};
    for (auto &row : write.transaction.writes)
        (*row.value)["op"] = write.transaction.operationId;
    m_actions.emplace_back(commit_shard{write.transaction});
    state.pendingWrite = std::move(write);
}

void shard_ownership::onApplied(shard_state &state, std::uint64_t version, time_point now)
{
    const pending_write write = std::move(*state.pendingWrite);
    state.pendingWrite.reset();
    state.versionsSeenAt = now;
    state.unchangedSince = now;
    switch (write.kind) {
    case pending_write::purpose::Acquire:
        state.rowVersion = version;
        state.leaseVersion = version;
        state.epoch = write.epoch;
        state.isHandedOver = false;
        state.unresponsive.clear();
        state.isOwned = true;
        state.lessPreferredSince = Never;
        state.earlierLeasesEndAt = write.earlierLeasesEndAt;
        state.grantUntil = write.sentAt + m_settings.leases.grantPeriod;
        state.nextRenewalAt = write.sentAt + m_settings.leases.renewInterval;
        m_actions.emplace_back(became_owner{state.info.shard, state.epoch, state.rowVersion,
                                            state.earlierLeasesEndAt, write.unresponsive});
        break;
    case pending_write::purpose::Renew:
        // Counted from before the write was sent, as other entries count from when they see it.
        state.leaseVersion = version;
        state.grantUntil = write.sentAt + m_settings.leases.grantPeriod;
        state.nextRenewalAt = write.sentAt + m_settings.leases.renewInterval;
        break;
    case pending_write::purpose::Release:
        state.rowVersion = version;
        loadHandOver(state, *write.transaction.writes.front().value);
        break;
    }
}

void shard_ownership::dropOwnership(shard_state &state)
{
    state.isOwned = false;
    state.grantUntil = time_point();
    m_actions.emplace_back(lost_shard{state.info.shard});
}

std::size_t shard_ownership::preferenceRank(const shard_state &state) const
{
    const auto order = ownersByPreference(state.info, m_peers);
    const auto found = std::find(order.begin(), order.end(), m_self.id);
    return static_cast<std::size_t>(found - order.begin());
}

} // namespace zinniabarrow::work
