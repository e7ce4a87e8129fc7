#include "jobs/outage_evidence.h"

#include "base/json.h"
#include "base/json_member.h"

namespace zinniabarrow::jobs {

namespace {

// An answer counts until then after its question was sent. Longer than two intervals between
// questions, of which one may be lost; far shorter than the entries' outageGrace().
constexpr milliseconds AnswerValidity{1000};

} // namespace

std::string toText(const store_state &state)
{
    Json::Value value(Json::objectValue);
    value["reachable"] = state.isReachable;
    return compactJson(value);
}

store_state storeStateFrom(const std::string &text)
{
    return {boolMember(parseJsonObject(text), "reachable")};
}

void outage_evidence::noteAnswer(const std::string &entry, const store_state &state,
                                 time_point askedAt)
{
    auto &latest = m_answers[entry];
    if (askedAt >= latest.askedAt)
        latest = {state.isReachable, askedAt};
}

bool outage_evidence::isStoreAwayForEntries(time_point now) const
{
    bool isAwayForSome = false;
    for (const auto &[entry, latest] : m_answers) {
        if (now - latest.askedAt >= AnswerValidity)
            continue;
        if (latest.isReachable)
            return false;
        isAwayForSome = true;
    }
    return isAwayForSome;
}

} // namespace zinniabarrow::jobs
