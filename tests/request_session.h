// The recorded session: a refusal and a retry, a commit without a result, repeats of a key, a
// broken connection.
#pragma once

#include "delivery_simulation.h"

namespace zinniabarrow::tests {

constexpr const char *SessionFile = "tests/golden/request_session.jsonl";

inline flow_settings sessionSettings()
{
    flow_settings settings;
    settings.claims.sweepInterval = milliseconds(60'000);
    return settings;
}

// Returns every event and action of entry e1 as a line of JSON.
inline std::vector<std::string> recordSession()
{
    delivery_simulation simulation;
    simulation.settings = sessionSettings();
    simulation.tracedEntry = "e1";
    simulation.send("e1/1", "e1", milliseconds(100), "POST", "seat-7"); // a1 refuses, a2 answers
    // While e1/1 is in progress.
    simulation.send("e1/2", "e1", milliseconds(110), "POST", "seat-7");
    simulation.send("e1/3", "e1", milliseconds(500), "POST", "seat-7");    // after the end of e1/1
    simulation.send("e1/4", "e1", milliseconds(510), "POST", "seat-7", 2); // same key, other body
    simulation.runUntil(milliseconds(590));
    simulation.send("e1/5", "e1", milliseconds(600), "POST", "seat-8");
    simulation.faults[simulation.step + 2] = fault::AnswerLost; // the commit of the claim
    simulation.runUntil(milliseconds(1200));
    simulation.disconnectingAgents.insert("a2");
    simulation.send("e1/6", "e1", milliseconds(1300), "POST", "seat-9"); // may have been executed
    simulation.send("e1/7", "e1", milliseconds(1310), "GET", "");
    simulation.send("e1/8", "e1", milliseconds(1500), "POST", "seat-9");
    simulation.drain("e1", milliseconds(1600));
    simulation.send("e1/9", "e1", milliseconds(1610), "POST", "");
    simulation.runUntil(milliseconds(2500));
    return simulation.trace;
}

} // namespace zinniabarrow::tests
