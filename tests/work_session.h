// A recorded session: tasks are placed, evicted, resumed and cancelled while their owner dies, a
// worker is replaced and the table is down for a while.
#pragma once

#include <sstream>

#include "work_model.h"

namespace zinniabarrow::tests {

constexpr const char *WorkSessionFile = "tests/golden/work_session.jsonl";
constexpr std::uint64_t WorkSessionSeed = 11;

// Runs the session. Returns JSON lines: what the workers did, in order, then the rows that the
// table holds at the end. The violations found in the trace are stored in `violations`.
inline std::vector<std::string> recordWorkSession(std::vector<trace_violation> *violations)
{
    work_model model(WorkSessionSeed);
    model.submit("watch", 2, failover_class::Proof, true, 3600);
    model.submit("season", 8, failover_class::Lease, false, 20);
    model.runFor(seconds(5));
    model.evict({"season", 3}); // checkpointed, requeued, resumed
    model.runFor(seconds(3));
    model.kill(*model.owner(), seconds(30)); // the other entry takes over the shard
    model.runFor(seconds(10));
    model.kill(model.workers.at("w1"), seconds(2)); // restarts with a newer incarnation
    model.submit("clubs", 6, failover_class::Lease, false, 30);
    model.runFor(seconds(5));
    model.tableFault = table_fault::Down;
    model.runFor(seconds(20));
    model.tableFault = table_fault::None;
    model.cancel("clubs");
    model.runFor(seconds(60));
    *violations = model.violations();
    std::vector<std::string> lines;
    std::istringstream trace(model.trace);
    for (std::string line; std::getline(trace, line);)
        lines.push_back(line);
    for (const auto &row : model.platform.scan("work/")) {
        Json::Value line(Json::objectValue);
        line["row"] = row.key;
        line["value"] = row.value;
        lines.push_back(compactJson(line));
    }
    return lines;
}

} // namespace zinniabarrow::tests
