// Tracks whether the configuration version that an entry applies is the newest one. Used by the
// configuration_follower.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "base/time.h"

namespace zinniabarrow::jobs {

enum class configuration_freshness {
    Current,          // the newest, as far as is known
    PossiblyOutdated, // a newer version may exist, with queues that this one lacks
    Outdated,         // a newer version has existed for too long: answer nothing from this one
};

// An entry on a slow link receives a large configuration late. Until then it would answer callers
// from the old version: that a new queue does not exist, or that a removed one does. It learns that
// a newer version exists before it has received it, from the other entries' pings and from the
// header of a store answer that carries changes, and treats its own version as possibly outdated
// from then on.
class configuration_tracker
{
public:
    // Operators are promised that a version is in force everywhere 2 s after they have written it.
    // Entries learn of it within 0.4 s, one ping period. With this limit, callers on persistent
    // connections are refused before the promise is broken.
    static constexpr milliseconds MaxUnreadTime{800};
    // An unchanged configuration is confirmed every second, as of the time of the request, a second
    // earlier. The limit tolerates one lost answer.
    static constexpr milliseconds MaxUnconfirmedTime{3500};
    // Bytes; an answer that carries no changes is not larger.
    static constexpr std::uint64_t MaxEmptyAnswerBytes = 256;

    void recordAppliedVersion(std::int64_t version);                    // this entry applies it
    void recordOtherEntryVersion(std::int64_t version, time_point now); // another entry applies it
    void recordAnswerStart(std::uint64_t bytes, time_point now); // an answer's header arrived
    void recordAnswerRead(time_point requestedAt);               // an answer was read and applied

    configuration_freshness freshness(time_point now) const;
    bool isConfirmed(time_point now) const; // within MaxUnconfirmedTime

private:
    std::optional<time_point> outdatedSince() const;

    std::int64_t m_appliedVersion = 0;
    std::map<std::int64_t, time_point> m_newerVersions; // version -> when it was first reported
    std::optional<time_point> m_readingSince;           // an answer with changes is being read
    std::optional<time_point> m_confirmedAt;            // request time of the last answer read
};

} // namespace zinniabarrow::jobs
