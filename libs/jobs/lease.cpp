#include "jobs/lease.h"

#include <algorithm>
#include <chrono>

#include "base/json.h"
#include "base/json_member.h"
#include "jobs/value_limits.h"

namespace zinniabarrow::jobs {

std::string toText(const lease_row &row)
{
    Json::Value value(Json::objectValue);
    value["epoch"] = Json::Int64(row.epoch);
    value["fence"] = Json::Int64(row.fence);
    value["renewals"] = Json::Int64(row.renewals);
    value["life"] = row.workerIncarnation;
    value["ended"] = row.endedByWatcher;
    value["write"] = row.writeId;
    value["ends_at_ms"] = Json::Int64(row.expiresAtMs);
    if (row.earlierCallsHoldUntilMs != 0)
        value["earlier_calls_until_ms"] = Json::Int64(row.earlierCallsHoldUntilMs);
    if (!row.workerId.empty())
        value["worker"] = row.workerId;
    return compactJson(value);
}

lease_row leaseFrom(const std::string &text)
{
    const auto value = parseJsonObject(text);
    lease_row row{integerMemberUpTo(value, "epoch", MaxCounter),
                  integerMemberUpTo(value, "fence", MaxCounter),
                  integerMemberUpTo(value, "renewals", MaxCounter),
                  stringMember(value, "life"),
                  boolMember(value, "ended"),
                  stringMember(value, "write")};
    if (value.isMember("ends_at_ms")) // agents of the previous release don't write it
        row.expiresAtMs = integerMemberUpTo(value, "ends_at_ms", MaxTimeMs);
    if (value.isMember("earlier_calls_until_ms")) // nor this
        row.earlierCallsHoldUntilMs = integerMemberUpTo(value, "earlier_calls_until_ms", MaxTimeMs);
    if (value.isMember("worker")) // nor this
        row.workerId = stringMember(value, "worker");
    return row;
}

lease_row endedLeaseAfter(std::int64_t version)
{
    lease_row row;
    row.epoch = version;
    row.fence = version;
    row.endedByWatcher = true;
    return row;
}

namespace {

std::int64_t millisecondsSinceEpoch(time_point at)
{
    return millisecondsIn(at.time_since_epoch());
}

// By how much the store's clock and this one can differ in the time between, at most.
std::int64_t maxDriftMs(time_point from, time_point to)
{
    constexpr int MaxDriftPerMille = 1;
    return std::max<std::int64_t>(0, millisecondsSinceEpoch(to) - millisecondsSinceEpoch(from))
           * MaxDriftPerMille / 1000;
}

// Added to the expiry in a row, or to LeaseDuration if the expiry is unknown.
constexpr milliseconds LeaseExpirySlack = expirySlack(LeaseDuration);

// How much later than the lease a hold ends at most, without a suspension: it seems longer by the
// age of a reading and a slow clock. The rest of the watchers' slack is left to them.
constexpr milliseconds HoldTolerance{500};
static_assert(HoldTolerance < LeaseExpirySlack);

// For how long runs may continue after the row was written, at most.
milliseconds longestHold(const lease_row &row)
{
    return row.earlierCallsHoldUntilMs == 0 ? LeaseDuration : MaxHoldDuration;
}

} // namespace

milliseconds suspensionReserve(milliseconds longestSuspension)
{
    return std::max(longestSuspension - HoldTolerance, milliseconds(0));
}

time_point holdLimit(time_point validUntil, milliseconds longestSuspension,
                     bool isStoreAwayForEntries)
{
    return isStoreAwayForEntries ? validUntil : validUntil - suspensionReserve(longestSuspension);
}

milliseconds outageGrace(milliseconds longestSuspension)
{
    // Longest time from an agent's last extension of a hold during the outage to the write of its
    // renewal, apart from the suspension: one interval between probes and one between renewals.
    constexpr milliseconds RenewalDelay{1500};
    return longestSuspension + RenewalDelay;
}

bool needsStopBeforeExpiry(time_point heldUntil, time_point validUntil, milliseconds stopTimeout,
                           time_point now)
{
    constexpr milliseconds CallTime{150}; // a stop call reaches the worker, and may have to wait
    return heldUntil > validUntil + HoldTolerance
           && now >= validUntil - durationOnSlowClock(stopTimeout) - CallTime;
}

void store_clock::noteReading(std::int64_t storeMs, time_point sentAt, time_point now)
{
    if (storeMs == 0)
        return;
    m_lastReadingMs = storeMs;
    m_lastReadAt = now;
    // The store read its clock after the call was sent, so the reading gives an upper bound of the
    // offset; the longer the call took, the looser. The tightest bound of all answers is used.
    const auto offsetMs = storeMs - millisecondsSinceEpoch(sentAt);
    // A reading later than the estimate's upper bound proves the estimate wrong. If it were kept,
    // later rows would give an expiry that is too early.
    const bool disproved = storeMs > upperBoundMs(now);
    if (m_maxOffsetMs && !disproved && *m_maxOffsetMs + maxDriftMs(m_readAt, now) <= offsetMs)
        return;
    m_maxOffsetMs = offsetMs;
    m_readAt = now;
}

std::int64_t store_clock::upperBoundMs(time_point at) const
{
    return m_maxOffsetMs ? millisecondsSinceEpoch(at) + *m_maxOffsetMs + maxDriftMs(m_readAt, at)
                         : 0;
}

std::int64_t store_clock::lowerBoundMs(time_point at) const
{
    return m_lastReadingMs == 0 ? 0
                                : m_lastReadingMs + millisecondsIn(at - m_lastReadAt)
                                          - maxDriftMs(m_lastReadAt, at);
}

lease_check lease_expiry_detector::observe(const std::string &worker, const lease_row &row,
                                           std::int64_t version, std::int64_t storeMs,
                                           time_point now, time_point graceUntil)
{
    if (row.endedByWatcher)
        return {false, now + LeaseCheckInterval}; // the agent has to begin a new epoch
    auto &observed = m_observed[worker];
    if (observed.version != version)
        observed = {version, now + longestHold(row) + LeaseExpirySlack};
    auto expiresAt = observed.expiresAt;
    if (row.expiresAtMs != 0 && storeMs != 0) {
        const auto inRow = now + milliseconds(row.expiresAtMs - storeMs) + LeaseExpirySlack;
        expiresAt =
                row.earlierCallsHoldUntilMs == 0 ? std::min<time_point>(expiresAt, inRow) : inRow;
    }
    expiresAt = std::max(expiresAt, graceUntil);
    return {now >= expiresAt, std::min<time_point>(expiresAt, now + LeaseCheckInterval)};
}

void lease_expiry_detector::forget(const std::string &worker)
{
    m_observed.erase(worker);
}

} // namespace zinniabarrow::jobs
