// When the generation that a process works by goes along with a message that is sent anyway.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "base/time.h"
#include "config/generation_records.h"

namespace zinniabarrow::config {

// A report is most of a heartbeat's bytes and rarely news. It goes with every message until that
// one was answered, and then again after a while: the receiver forgets reports that it does not
// hear for `generation_settings::forgetAfter`.
class report_throttle
{
public:
    explicit report_throttle(milliseconds repeatInterval)
        : m_repeatInterval(repeatInterval)
    { }

    bool isDue(const std::string &receiver, const generation_report &report, time_point now) const;
    void recordAnswer(const std::string &receiver, const generation_report &report, time_point now);
    // The receiver was replaced, or says that it knows nothing.
    void resetReceiver(const std::string &receiver) { m_acknowledged.erase(receiver); }

private:
    struct acknowledged_report
    {
        std::uint64_t generation = 0;
        std::string digest;
        time_point repeatAt;
    };

    const milliseconds m_repeatInterval;
    std::map<std::string, acknowledged_report>
            m_acknowledged; // by receiver; bounded by the settings' entries
};

} // namespace zinniabarrow::config
