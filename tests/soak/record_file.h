// Writes the timeline of a soak to a file: one JSON object a line, times in ms since the first
// item.
#pragma once

#include <fstream>
#include <string>
#include <vector>

#include <json/json.h>

#include "base/json.h"
#include "soak/timeline.h"

namespace zinniabarrow::soak {

// Each overload returns the members of one event.
struct event_to_json
{
    Json::Value operator()(const request_sent &event) const
    {
        auto line = lineOf("request_sent");
        line["request"] = Json::UInt64(event.request);
        line["entry"] = event.entry;
        line["method"] = event.method;
        line["job"] = event.job;
        line["body"] = event.body;
        return line;
    }
    Json::Value operator()(const answer_received &event) const
    {
        auto line = lineOf("answer_received");
        line["request"] = Json::UInt64(event.request);
        line["status"] = event.status;
        line["body"] = event.body;
        return line;
    }
    Json::Value operator()(const request_unanswered &event) const
    {
        constexpr const char *Ends[] = {"closed", "reset", "timed_out"};
        auto line = lineOf("request_unanswered");
        line["request"] = Json::UInt64(event.request);
        line["how"] = Ends[static_cast<std::size_t>(event.how)];
        line["answer_bytes"] = Json::UInt64(event.answerBytes);
        return line;
    }
    Json::Value operator()(const run_started &event) const { return runLine("run_started", event); }
    Json::Value operator()(const run_ended &event) const
    {
        auto line = runLine("run_ended", event);
        line["how"] = event.how;
        return line;
    }
    Json::Value operator()(const fault_noted &event) const
    {
        auto line = lineOf("fault_noted");
        line["kind"] = event.kind;
        line["target"] = event.target;
        line["is_begin"] = event.isBegin;
        line["detail"] = event.detail;
        return line;
    }

private:
    static Json::Value lineOf(const char *event)
    {
        Json::Value line(Json::objectValue);
        line["event"] = event;
        return line;
    }

    template <typename Run>
    static Json::Value runLine(const char *name, const Run &event)
    {
        auto line = lineOf(name);
        line["worker"] = event.worker;
        line["job"] = event.job;
        line["occurrence"] = event.occurrence;
        line["step"] = event.step;
        line["index"] = event.index;
        line["run"] = event.run;
        return line;
    }
};

inline void writeTimeline(const std::vector<timeline_item> &items, const std::string &file)
{
    std::ofstream lines(file);
    for (const auto &item : items) {
        auto line = std::visit(event_to_json{}, item.event);
        line["at_ms"] = Json::Int64(millisecondsIn(item.at - items.front().at));
        lines << compactJson(line) << "\n";
    }
}

} // namespace zinniabarrow::soak
