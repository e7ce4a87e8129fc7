// The recorded session: a refusal and a retry, a lost claim answer, a keyed repeat, a cut answer.
#pragma once

#include "delivery_simulation.h"

namespace zinniabarrow::tests {

constexpr const char *SessionFile = "tests/golden/request_session.jsonl";

inline flow_settings sessionSettings()
{
    flow_settings settings;
    settings.claims.sweepGap = milliseconds(60'000);
    return settings;
}

// Every event and action of entry e1 as a line of JSON.
inline std::vector<std::string> recordSession()
{
    delivery_world world;
    world.settings = sessionSettings();
    world.traced = "e1";
    world.send("e1/1", "e1", milliseconds(100), "POST", "seat-7"); // a1 is full, a2 takes it
    world.send("e1/2", "e1", milliseconds(110), "POST", "seat-7"); // while it is in progress
    world.send("e1/3", "e1", milliseconds(500), "POST", "seat-7"); // after its end
    world.send("e1/4", "e1", milliseconds(510), "POST", "seat-7", 2);
    world.runUntil(milliseconds(590));
    world.send("e1/5", "e1", milliseconds(600), "POST", "seat-8");
    world.faults[world.step + 2] = fault::AnswerLost; // the commit of the claim
    world.runUntil(milliseconds(1200));
    world.cutting.insert("a2");
    world.send("e1/6", "e1", milliseconds(1300), "POST", "seat-9"); // may have run
    world.send("e1/7", "e1", milliseconds(1310), "GET", "");
    world.send("e1/8", "e1", milliseconds(1500), "POST", "seat-9");
    world.drain("e1", milliseconds(1600));
    world.send("e1/9", "e1", milliseconds(1610), "POST", "");
    world.runUntil(milliseconds(2500));
    return world.trace;
}

} // namespace zinniabarrow::tests
