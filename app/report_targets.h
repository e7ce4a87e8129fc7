// The entries that an agent sends reports to. Keeps at most one report in flight per entry and
// remembers which epoch of the worker each entry has acknowledged. Sends nothing itself.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"

namespace zinniabarrow {

class report_targets
{
public:
    // The entry has started, perhaps anew: it wants reports until an answer says otherwise.
    void setAddress(const std::string &entry, const std::string &address);
    void removeEntry(const std::string &entry);

    std::vector<std::string> names() const; // sorted
    // The entries that get the periodic report number `round`: those that want reports, those that
    // need another one as the last has failed, and of the others a fifth, each in its turn.
    std::vector<std::string> namesForRound(std::uint64_t round) const;
    std::vector<std::string> addresses() const;
    // Throws std::out_of_range if the entry is unknown.
    const std::string &addressOf(const std::string &entry) const;

    // Whether the entry wants a report now that only updates the worker's free capacity.
    bool isReportDue(const std::string &entry, time_point now) const;
    // True if a report may be sent to the entry now; it then counts as in flight. False if the
    // entry is unknown, or if a report is in flight; in that case needsAnotherReport() is set.
    bool tryBeginReport(const std::string &entry, time_point now);
    // The report in flight was answered or has failed. False if the entry has been removed.
    bool endReport(const std::string &entry);
    // What the entry's last answer said: see report_answer. An entry that has not answered yet
    // wants reports.
    void setWantsReports(const std::string &entry, bool wantsReports);
    void setMinReportInterval(const std::string &entry, milliseconds interval);
    // The entry has asked for reports, by any call to the agent. An answer to a report that is in
    // flight may be older and say otherwise: that is ignored.
    void noteReportRequest(const std::string &entry);
    // The entry has answered a report that carried this epoch.
    void acknowledgeEpoch(const std::string &entry, std::int64_t epoch);
    // Whether a report was requested while another one was in flight.
    bool needsAnotherReport(const std::string &entry) const;
    // Whether some entry has not yet answered a report that carried this epoch.
    bool isEpochUnacknowledged(std::int64_t epoch) const;

private:
    struct report_target
    {
        std::string address;
        std::int64_t acknowledgedEpoch = 0;  // highest epoch in an answered report
        bool isReportInFlight = false;       // a report is not answered yet
        bool needsAnother = false;           // requested while a report was in flight
        bool hasRequestedSinceBegun = false; // the entry asked since the report in flight was begun
        milliseconds minReportInterval{0};
        bool wantsReports = true;
        time_point lastBegunAt{}; // when the last report was begun
    };

    std::map<std::string, report_target> m_targets;
};

} // namespace zinniabarrow
