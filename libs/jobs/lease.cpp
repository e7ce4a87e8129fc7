#include "jobs/lease.h"

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
    return compactJson(value);
}

lease_row leaseFrom(const std::string &text)
{
    const auto value = parseJsonObject(text);
    return {integerMember(value, "epoch"),    integerMember(value, "fence"),
            integerMember(value, "renewals"), stringMember(value, "life"),
            boolMember(value, "ended"),       stringMember(value, "write")};
}

bool lease_watch::observe(const std::string &worker, std::int64_t version, time_point now)
{
    auto &last = m_seen[worker];
    if (last.version != version) {
        last.version = version;
        last.endsAt = now + LeaseLength + LeaseLength / 50 + LeaseMargin;
        return false;
    }
    return now >= last.endsAt;
}

void lease_watch::forget(const std::string &worker)
{
    m_seen.erase(worker);
}

} // namespace zinniabarrow::jobs
