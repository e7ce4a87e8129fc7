#include "jobs/lease.h"

#include <algorithm>
#include <chrono>

#include "base/json.h"
#include "base/json_member.h"

namespace zinniabarrow::jobs {

std::string toText(const lease_row &row)
{
    Json::Value value(Json::objectValue);
    value["epoch"] = Json::Int64(row.epoch);
    value["fence"] = Json::Int64(row.fence);
    value["renewals"] = Json::Int64(row.renewals);
    value["life"] = row.life;
    value["ended"] = row.ended;
    value["write"] = row.write;
    value["ends_at_ms"] = Json::Int64(row.endsAtMs);
    return compactJson(value);
}

lease_row leaseFrom(const std::string &text)
{
    const auto value = parseJsonObject(text);
    lease_row row{integerMember(value, "epoch"),    integerMember(value, "fence"),
                  integerMember(value, "renewals"), stringMember(value, "life"),
                  boolMember(value, "ended"),       stringMember(value, "write")};
    if (value.isMember("ends_at_ms")) // agents of the release before don't tell it
        row.endsAtMs = integerMember(value, "ends_at_ms");
    return row;
}

namespace {

std::int64_t inMs(time_point at)
{
    return millisecondsIn(at.time_since_epoch());
}

// Beyond the end that a row tells, or a whole lease.
constexpr milliseconds Slack = slackOf(LeaseLength);

} // namespace

void store_clock::told(std::int64_t storeMs, time_point sentAt, time_point now)
{
    if (storeMs == 0)
        return;
    // The store read its clock after the call was sent: a call that took long tells less. Of all
    // answers the tightest counts.
    const auto ahead = storeMs - inMs(sentAt);
    // One that shows it to be later than was thought possible proves the estimate wrong: kept, each
    // later row would tell an end that is too early.
    const bool disproved = storeMs > latestAt(now);
    if (m_aheadMs && !disproved && *m_aheadMs + driftUntil(now) <= ahead)
        return;
    m_aheadMs = ahead;
    m_toldAt = now;
}

std::int64_t store_clock::latestAt(time_point at) const
{
    return m_aheadMs ? inMs(at) + *m_aheadMs + driftUntil(at) : 0;
}

// No two clocks run at one rate.
std::int64_t store_clock::driftUntil(time_point at) const
{
    constexpr int PerMille = 1;
    return std::max<std::int64_t>(0, inMs(at) - inMs(m_toldAt)) * PerMille / 1000;
}

lease_verdict lease_watch::observe(const std::string &worker, const lease_row &row,
                                   std::int64_t version, std::int64_t storeMs, time_point now)
{
    if (row.ended)
        return {false, now + RenewEvery}; // its agent begins anew
    auto &last = m_seen[worker];
    if (last.version != version)
        last = {version, now + LeaseLength + Slack};
    auto endsAt = last.endsAt;
    if (row.endsAtMs != 0 && storeMs != 0)
        endsAt = std::min(endsAt, now + milliseconds(row.endsAtMs - storeMs) + Slack);
    return {now >= endsAt, std::min(endsAt, now + RenewEvery)};
}

void lease_watch::forget(const std::string &worker)
{
    m_seen.erase(worker);
}

} // namespace zinniabarrow::jobs
