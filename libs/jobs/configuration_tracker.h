// Whether the configuration that an entry works by is the newest one.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "base/time.h"

namespace zinniabarrow::jobs {

enum class configuration_freshness {
    Current,          // by all that is known the newest
    PossiblyOutdated, // a newer one may be there: a queue that this one lacks may exist
    Outdated,         // a newer one has been there for long: nothing is answered from this one
};

// An entry on a slow link learns a large configuration late, and would go on telling callers what
// an old one says: that a new queue does not exist, or that a dropped one does. It hears of newer
// versions before it has them, from the other entries' pings and from the head of an answer that
// carries changes, and then doubts its own.
class configuration_tracker
{
public:
    // Operators are promised a version everywhere 2 s after they have put it. It is heard of within
    // 0.4 s, a period of the pings, and callers that keep their connections are refused before the
    // promise is broken.
    static constexpr milliseconds MaxUnreadTime{800};
    // An unchanged configuration is confirmed each second, as of the second before; one answer may
    // get lost meanwhile.
    static constexpr milliseconds MaxUnconfirmedTime{3500};
    // An answer without changes is smaller.
    static constexpr std::uint64_t MaxEmptyAnswerBytes = 256;

    void noteVersionApplied(std::int64_t version);                   // this entry works by it
    void noteVersionElsewhere(std::int64_t version, time_point now); // another entry does
    void noteAnswerStarted(std::uint64_t bytes, time_point now);     // its head has come
    void noteAnswerRead(time_point requestedAt); // whole, and all of it was taken

    configuration_freshness freshness(time_point now) const;
    bool isConfirmed(time_point now) const; // lately

private:
    std::optional<time_point> outdatedSince() const;

    std::int64_t m_appliedVersion = 0;
    std::map<std::int64_t, time_point> m_newerVersions; // versions that were heard of, and when
    std::optional<time_point> m_readingSince;           // an answer with changes
    std::optional<time_point> m_confirmedAt;
};

} // namespace zinniabarrow::jobs
