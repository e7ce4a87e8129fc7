// An agent that can't reach the platform's store asks entries whether they can. Only if they can't
// either do holds continue as long as the lease: no entry can end the lease then. An agent that is
// cut off from all entries can't tell, as they may reach the store.
#pragma once

#include <map>
#include <string>

#include "base/time.h"

namespace zinniabarrow::jobs {

// An entry's answer to an agent that asks. Throws error BadRequest if the text is malformed.
struct store_state
{
    bool isReachable = true; // for the entry that answers, directly or through another one
};
std::string toText(const store_state &state);
store_state storeStateFrom(const std::string &text);

class outage_evidence
{
public:
    // The entry has answered a question that was sent at `askedAt`.
    void noteAnswer(const std::string &entry, const store_state &state, time_point askedAt);
    void forgetAll() { m_answers.clear(); } // the agent itself reaches the store
    // By the answers to recent questions no entry reaches the store; false if none has answered.
    bool isStoreAwayForEntries(time_point now) const;

private:
    struct answer
    {
        bool isReachable = true;
        time_point askedAt{};
    };
    std::map<std::string, answer> m_answers; // the latest of each entry
};

} // namespace zinniabarrow::jobs
