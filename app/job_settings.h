// Settings of the two daemons that serve jobs. The platform fills them into a JSON template.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "base/time.h"
#include "jobs/lease.h"
#include "jobs/scheduling_features.h"
#include "runtime/http.h"

namespace zinniabarrow {

struct job_entry_settings
{
    std::string id;                  // name of the machine (instance)
    std::string zone;                // availability zone
    socket_address callersAddress;   // listens here for callers
    socket_address readinessAddress; // listens here for the load balancer's readiness checks
    socket_address
            internalAddress; // listens here for zinniabarrow's own processes, and serves metrics
    socket_address advertisedAddress; // where these processes reach internalAddress
    std::string storeAddress;         // "ip:port" of the platform's store
    std::int64_t millicores = 1000;   // processor capacity of the instance, 1/1000 core
    std::size_t requestMemoryBytes = 32 * 1024 * 1024;    // of all callers' requests being read
    milliseconds longestSuspension = jobs::MaxSuspension; // of a worker's machine, at most
    jobs::scheduling_features scheduling;                 // member "scheduling"; absent: all off
};

struct job_agent_settings
{
    std::string id; // of the agent; its worker is known to entries by it
    std::string zone;
    socket_address announcementsAddress; // listens here for the worker's announcements
    socket_address
            internalAddress; // listens here for zinniabarrow's own processes, and serves metrics
    socket_address advertisedAddress; // where these processes reach internalAddress
    std::string workerAddress;        // "ip:port" of the worker
    std::string service;              // the one that the worker belongs to
    std::string storeAddress;         // "ip:port" of the platform's store
    milliseconds stopTimeout{900};    // a run has ended at most this long after the call to stop it
    // One call lets the worker's runs continue for this long at most.
    milliseconds longestHold = jobs::MaxHoldDuration;
    milliseconds longestSuspension = jobs::MaxSuspension; // of this machine, at most
};

// Both parse a settings file's text. They throw error BadSettings, which names the file and the
// member. Unknown members are ignored, because the platform may fill in more than this version
// knows.
job_entry_settings jobEntrySettingsFrom(const std::string &file, const std::string &text);
job_agent_settings jobAgentSettingsFrom(const std::string &file, const std::string &text);

} // namespace zinniabarrow
