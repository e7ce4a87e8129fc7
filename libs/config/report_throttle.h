// Decides which of an agent's heartbeats to an entry carry a generation report.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "base/time.h"
#include "config/generation_records.h"

namespace zinniabarrow::config {

// A report makes up most of a heartbeat's bytes and rarely changes. So it is included in every
// message until the receiver has answered one that carried it. After that it is repeated at
// intervals, because a receiver drops reports older than
// `generation_manager_settings::reportRetention`.
class report_throttle
{
public:
    explicit report_throttle(milliseconds repeatInterval)
        : m_repeatInterval(repeatInterval)
    { }

    // True if the next message to `receiver` should carry `report`: the receiver has not answered a
    // message with this generation and digest, or has not done so for `repeatInterval`.
    bool isDue(const std::string &receiver, const generation_report &report, time_point now) const;
    // The receiver has answered a message that carried `report`.
    void recordAnswer(const std::string &receiver, const generation_report &report, time_point now);
    // The receiver was replaced, or reports that it lost its state: send the report again.
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
            m_acknowledged; // by receiver; at most one for each entry in the settings
};

} // namespace zinniabarrow::config
